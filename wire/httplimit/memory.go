package httplimit

import "golang.org/x/sys/unix"

const megabyte = 1 << 20

// ProcessMemory returns the memory that a process may use, in bytes: what its settings name, in MB, or if that
// is zero the memory of the host, at most the default.
func ProcessMemory(settingsMB, defaultMB int) int64 {
	if settingsMB > 0 {
		return int64(settingsMB) * megabyte
	}
	memory := int64(defaultMB) * megabyte
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil && info.Totalram > 0 {
		memory = min(memory, int64(info.Totalram)*int64(info.Unit))
	}
	return memory
}
