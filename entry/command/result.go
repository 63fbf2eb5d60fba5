package command

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"almondstand.dev/entry/caller"
)

// taskLine is the JSON representation of one task result.
type taskLine struct {
	Index int `json:"index"`
	caller.Task
}

func printResult(w io.Writer, r caller.Result, format string) error {
	if format == formatJSON {
		e := json.NewEncoder(w)
		for i, t := range r.Tasks {
			if err := e.Encode(taskLine{Index: i, Task: t}); err != nil {
				return err
			}
		}
		return nil
	}
	if len(r.Tasks) == 0 {
		return nil
	}
	return writeTable(w, resultRows(r))
}

func resultRows(r caller.Result) [][]string {
	if !r.Complete {
		rows := [][]string{{"TASK", "RAN", "CODE"}}
		for i, t := range r.Tasks {
			rows = append(rows, []string{strconv.Itoa(i), string(t.Ran), t.Code})
		}
		return rows
	}
	rows := [][]string{{"TASK", "RUN TIME", "BYTES", "ANSWER"}}
	for i, t := range r.Tasks {
		rows = append(rows, []string{strconv.Itoa(i), t.RunTime, strconv.Itoa(t.Length), displayText(t.Payload)})
	}
	return rows
}

// maxDisplayed is the maximum length of an answer in the table, in characters.
const maxDisplayed = 60

// displayText returns a payload as printable text, or in base64 if it contains
// control characters, which could corrupt the terminal.
func displayText(payload []byte) string {
	text := string(payload)
	printable := utf8.Valid(payload) && strings.IndexFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
	if !printable {
		text = base64.StdEncoding.EncodeToString(payload)
	}
	if runes := []rune(text); len(runes) > maxDisplayed {
		return string(runes[:maxDisplayed]) + "..."
	}
	return text
}
