package contracts

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	eventApplied = eventlog.Define(1400, "contracts.applied", slog.LevelInfo,
		"A version of a contract is in force at this entry.",
		"None.")
	eventOlderRefused = eventlog.Define(1401, "contracts.older_refused", slog.LevelError,
		"The store held an older version of a contract than the one in force. The newer version stays in force, and this entry wrote it back to the store.",
		"The store was probably restored from a backup. If the older version is the intended one, apply it again as a new change.")
	eventUnreadable = eventlog.Define(1402, "contracts.unreadable", slog.LevelError,
		"The value of a contract's key can't be decoded; the last valid version stays in force.",
		"The store was written without the operators' interface, or an entry of a newer release wrote an encoding that this one can't decode. Finish the upgrade, or apply the contract again.")
	eventDeletedRefused = eventlog.Define(1403, "contracts.deleted_refused", slog.LevelError,
		"The key of a contract is missing from the store; the contract stays in force and is written back.",
		"To end a contract, retire it. Nothing else needs to be done.")
	eventRepaired = eventlog.Define(1404, "contracts.repaired", slog.LevelWarn,
		"This entry wrote the version in force back to the store, which had lost it.",
		"Find out why the store lost it, for example by a restore from a backup.")
	eventWatchLost = eventlog.Define(1405, "contracts.watch_lost", slog.LevelWarn,
		"The watch on the contracts broke or could not be opened; it is retried. Contracts stay in force.",
		"Check the store if this persists. Meanwhile changes reach this entry from its peers.")
	eventListFailed = eventlog.Define(1406, "contracts.list_failed", slog.LevelWarn,
		"The contracts could not be read from the store; the read is retried. Contracts stay in force.",
		"Check the store if this persists. Changes can't be made while the store is down.")
	eventListed = eventlog.Define(1407, "contracts.listed", slog.LevelInfo,
		"The contracts were read from the store in full.",
		"None.")
	eventTokenTwice = eventlog.Define(1408, "contracts.token_twice", slog.LevelError,
		"The contracts of two clients contain the same token digest; the token is assigned to the client whose name sorts first.",
		"Give one of the clients another token and apply its contract.")
	eventUnknownOutcome = eventlog.Define(1409, "contracts.unknown_outcome", slog.LevelWarn,
		"A change of a contract could not be confirmed before its timeout; it may or may not have been made.",
		"Read the contract when the store answers again, and repeat the change if it was not made.")
	eventPeerRefused = eventlog.Define(1410, "contracts.peer_answer_refused", slog.LevelWarn,
		"A peer's response with contracts was incomplete or corrupted and was not used.",
		"None; the contracts are requested again after a later gossip round. Check the network if this repeats.")
)
