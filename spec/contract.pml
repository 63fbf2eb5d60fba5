/*
 * Model of the contract of one client account: operators who change it concurrently
 * through the entries, a store with compare-and-swap whose responses may be lost
 * after the write took effect, and the entries' registries, which receive versions
 * from lists, watches and peers in any order. It checks that the response to an
 * operator is true, that a change replaces exactly the version that it was made for,
 * and that the contract in force never reverts to an older version.
 *
 * Build with -DNO_CHANGE_ID or a similar macro to remove one safeguard.
 */

/* ---- bounds ------------------------------------------------------------- */

#ifndef CHANGES
#define CHANGES 3               /* changes, each by a different operator */
#endif
#ifndef ENTRIES
#define ENTRIES 2
#endif
#ifndef VERSIONS
#define VERSIONS 5              /* the initial version, and the proposed ones */
#endif
#ifndef KEPT
#define KEPT 1                  /* previous versions that a value includes */
#endif
#ifndef RESTORES
#define RESTORES 0              /* times that the store is restored from an old snapshot */
#endif
#define WRITES (VERSIONS + RESTORES + 2)        /* writes to the store, repairs included */

/* ---- situations that must be reachable ---------------------------------- */

#define ACCEPTED_BY_READING     1 /* after a lost response, reading back showed that the write took effect */
#define ACCEPTED_SUPERSEDED     2 /* the same, and another change had replaced it since */
#define CONFLICT_BY_READING     3 /* after a lost response, reading back showed a conflict */
#define LEFT_UNKNOWN            4 /* the operator got "outcome unknown" */
#define LATE_WRITE              5 /* a write took effect after its operator got "outcome unknown" */
#define OLDER_REFUSED           6 /* a registry rejected an older version */
#define REPAIRED                7 /* an entry wrote the newer version back to a restored store */
#define RESTORE_LOST_ACCEPTED   8 /* a limitation with restored stores: see README.md */
#ifndef SEE
#define SEE 0
#endif
#define REACHED(situation) assert(SEE != situation)

/* ---- properties --------------------------------------------------------- */

#define TRUE_ACCEPTED           1 /* a change reported as accepted has been written */
#define TRUE_CONFLICT           2 /* a change reported as a conflict is never written, before or after */
#define OVER_EXPECTED           3 /* a change replaces no other operator's version but the one it was made for */
#define MADE_ONCE               4 /* a change is written at most once */
#define NEVER_BACK              5 /* a registry never applies an older version */
#define CONVERGED               6 /* finally the store and all entries have the same version */
#define ACCEPTED_STAYS          7 /* the version finally in force descends from every accepted change */
#ifndef ONLY
#define ONLY 0
#endif
#define HOLDS(property, fact) assert((ONLY != 0 && ONLY != property) || (fact))

/* ---- state -------------------------------------------------------------- */

mtype:told = { LOOKING, DECIDED, SENT, ACCEPTED, CONFLICT, UNKNOWN };

/* One version of the contract, as a value in the store. Versions are numbered in the
 * order in which they are proposed; the number also represents the content, so it is
 * the tie-breaker between two versions with the same revision. */
typedef Version {
	byte revision;          /* orders versions; part of the value */
	byte previous;          /* the version that it replaces */
	byte change;            /* the change that made it; CHANGES for the initial version */
	byte at;                /* the store's write count that its compare-and-swap expects */
	bool made;              /* it has been in the store at some time */
}

typedef Change {
	mtype:told told = LOOKING;
	byte expected;          /* the version that the operator decided to replace */
	byte proposed;          /* the version in its last write */
	byte proposals;
	byte times_made;        /* for the properties only */
}

Version version[VERSIONS];
Change change[CHANGES];
byte proposed = 1;              /* number of versions so far; version 0 is the initial one */
byte in_store;                  /* the version in the store */
byte count;                     /* the store's count of writes to the key (its revision) */
byte was[WRITES];               /* the version at each write count */
byte in_force[ENTRIES];         /* the version in each registry */
byte restores;

byte i;                         /* scratch variables: reset to 0 after each step */
byte v;
byte found;

/* Safeguard (NO_TIE_BREAK): a total order of versions. Two versions have the same
 * revision when an entry that did not know the newer version writes to a restored
 * store. Without an order between them, entries would never converge. */
#ifdef NO_TIE_BREAK
#define NEWER(a, b) (version[a].revision > version[b].revision)
#else
#define NEWER(a, b) \
	(version[a].revision > version[b].revision || \
	(version[a].revision == version[b].revision && (a) > (b)))
#endif

/* The entry that an operator uses. */
#define AT(c) ((c) % ENTRIES)

#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* ---- the store ---------------------------------------------------------- */

/* Safeguard (NO_COMPARE): compare-and-swap. A write takes effect only when the key is
 * unchanged since the writer read it. Without the comparison the second of two
 * concurrent operators overwrites a change that it never saw (lost update). */
#ifdef NO_COMPARE
#define SWAPS(w) (count < WRITES - 1)
#else
#define SWAPS(w) (version[w].at == count && count < WRITES - 1)
#endif

inline put(w) {
	count++;
	in_store = w;
	was[count] = w;
	version[w].made = true
}

/* The write of a version reaches the store. It may arrive at any time after it was
 * sent, and so may a duplicate of it. */
inline store_takes(w) {
	printf("store takes version %d of change %d over version %d\n", w, version[w].change, in_store);
	i = version[w].change;
	HOLDS(OVER_EXPECTED, in_store == change[i].expected || version[in_store].change == i);
	HOLDS(TRUE_CONFLICT, change[i].told != CONFLICT);
	change[i].times_made++;
	HOLDS(MADE_ONCE, change[i].times_made <= 1);
	if
	:: change[i].told == UNKNOWN -> REACHED(LATE_WRITE)
	:: else
	fi;
	put(w)
}

/* The store is restored from a snapshot taken at an earlier write count; its write
 * count goes back as well. */
inline restore(n) {
	printf("store goes back to version %d\n", was[n]);
	restores++;
	count = n;
	in_store = was[n]
}

/* ---- the registries ----------------------------------------------------- */

/* Safeguard (NO_REVISION_CHECK): revision check. Lists, watches and peers deliver
 * versions in any order; a restored store delivers old ones. If a registry applied
 * them in order of arrival, it would revert a contract that was accepted and in
 * force. */
inline offer(e, w) {
	if
	:: NEWER(w, in_force[e]) -> in_force[e] = w
	:: else ->
		REACHED(OLDER_REFUSED);
#ifdef NO_REVISION_CHECK
		HOLDS(NEVER_BACK, !NEWER(in_force[e], w));
		in_force[e] = w
#endif
	fi
}

/* Safeguard (NO_REPAIR): repair. An entry writes the version in force back to a store
 * that has an older one. Without the repair an entry that starts afterwards would
 * put the older one in force. */
inline repair(e) {
	printf("entry %d repairs the store\n", e);
	REACHED(REPAIRED);
	put(in_force[e])
}

/* ---- the operators and their entries' writers --------------------------- */

inline accept(c) {
	printf("operator %d is told: accepted\n", c);
	HOLDS(TRUE_ACCEPTED, change[c].times_made > 0);
	change[c].told = ACCEPTED;
	if
	:: NEWER(in_store, in_force[AT(c)]) -> in_force[AT(c)] = in_store
	:: else
	fi
}

inline conflict(c) {
	printf("operator %d is told: conflict\n", c);
	HOLDS(TRUE_CONFLICT, change[c].times_made == 0);
	change[c].told = CONFLICT
}

inline unknown(c) {
	printf("operator %d is told: unknown\n", c);
	REACHED(LEFT_UNKNOWN);
	change[c].told = UNKNOWN
}

/* The operator decides to replace the version that its entry shows. */
inline decide(c) {
	change[c].expected = in_force[AT(c)];
	change[c].told = DECIDED
}

/* The writer reads the store. It uses the version in force at its entry when the
 * store's is older. It proposes a revision above all revisions that it knows. */
inline propose(c) {
	found = in_store;
	if
	:: NEWER(in_force[AT(c)], in_store) -> found = in_force[AT(c)]
	:: else
	fi;
	if
#ifdef NO_CHANGE_ID
	:: found != change[c].expected && change[c].proposals == 0 -> conflict(c)
#else
	:: found != change[c].expected -> conflict(c)
#endif
	:: else ->
		v = proposed;
		printf("operator %d sends version %d over version %d\n", c, v, found);
		version[v].revision = 1 + MAX(count, MAX(version[found].revision, version[in_force[AT(c)]].revision));
		version[v].previous = found;
		version[v].change = c;
		version[v].at = count;
		proposed++;
		change[c].proposed = v;
		change[c].proposals++;
		change[c].told = SENT
	fi
}

/* The store's response arrives: the write took effect. */
inline swapped(c) {
	store_takes(change[c].proposed);
	accept(c)
}

/* The store's response arrives: the key has another value, and the write had no
 * effect. When that value is the expected version, written again by a repair, the
 * writer starts over.
 *
 * Safeguard (BELIEVE_SECOND_COPY): only the response to the first attempt counts. The
 * comparison of a retry, sent after a lost response, fails because of the first
 * attempt's own effect. If the writer relied on that response, it would report a
 * conflict for a change that was made. */
#ifdef BELIEVE_SECOND_COPY
#define TURNED_AWAY(w) (!SWAPS(w))
#else
#define TURNED_AWAY(w) (!SWAPS(w) && !version[w].made)
#endif

inline not_swapped(c) {
	if
	:: in_store == version[change[c].proposed].previous -> change[c].told = DECIDED
	:: else -> conflict(c)
	fi
}

/* The response is lost. The writer reads the key back.
 *
 * Safeguard (NO_CHANGE_ID): change ID. The writer recognises the version that its
 * change made by the ID of the change in the value, or in one of the previous
 * versions that the value includes. Without the ID the writer would treat the lost
 * response as a failure and write again, over a change that was written meanwhile.
 *
 * Safeguard (NO_CHAIN): chain of versions. The writer reports a conflict only when
 * the value shows which version replaced the expected one. Without the chain it would
 * report a conflict for a change that was made and replaced before it was read back. */
inline read_back(c) {
	v = in_store;
	found = VERSIONS;
	for (i : 0 .. KEPT) {
		if
		:: found == VERSIONS && version[v].change == c ->
			found = 1
		:: found == VERSIONS && version[v].change != c && version[v].change != CHANGES &&
		   version[v].previous == version[change[c].proposed].previous ->
			found = 0
		:: else
		fi;
		v = version[v].previous
	}
#ifdef NO_CHAIN
	found = (version[in_store].change == c -> 1 : 0);
#endif
	if
	:: found == 1 ->
		REACHED(ACCEPTED_BY_READING);
		if
		:: version[in_store].change != c -> REACHED(ACCEPTED_SUPERSEDED)
		:: else
		fi;
		accept(c)
	:: found == 0 ->
		REACHED(CONFLICT_BY_READING);
		conflict(c)
	:: else -> unknown(c)
	fi
}

/* Safeguard (EARLY_FAILURE): no premature failure. While the key is unchanged, the
 * write may still be in transit. The writer retries the same write, which the
 * comparison lets take effect only once, or reports "unknown" when its deadline
 * expires. If it reported a failure, the change could still be made afterwards. */
inline give_up(c) {
#ifdef EARLY_FAILURE
	conflict(c)
#else
	unknown(c)
#endif
}

/* ---- final states: no other step is executable --------------------------- */

/* An accepted change is missing from the final version. After a restore from an old
 * snapshot, an entry that did not know the change may have written over it. */
inline lost_accepted() {
#if RESTORES > 0
	REACHED(RESTORE_LOST_ACCEPTED)
#else
	HOLDS(ACCEPTED_STAYS, false)
#endif
}

/* Checks the final state. A version's ancestors are the versions that it replaced,
 * directly or through others. */
inline judge_end() {
	HOLDS(CONVERGED, in_force[0] == in_store && in_force[ENTRIES - 1] == in_store);
	for (i : 0 .. CHANGES - 1) {
		if
		:: change[i].told == ACCEPTED ->
			v = in_store;
			do
			:: version[v].change == i || v == 0 -> break
			:: else -> v = version[v].previous
			od;
			if
			:: v == 0 -> lost_accepted()
			:: else
			fi
		:: else
		fi
	}
}

/* ---- processes ---------------------------------------------------------- */

/* One atomic step, executable when enabled is true. */
#define STEP(enabled, action) d_step { enabled -> action; i = 0; v = 0; found = 0 }

#define LAST(c) change[c].proposed
#define UNCHANGED(c) (version[LAST(c)].at == count)

proctype Operating(byte c) {
end:	do
	:: STEP(change[c].told == LOOKING, decide(c))
	:: STEP(change[c].told == DECIDED && proposed < VERSIONS, propose(c))
	:: STEP(change[c].told == DECIDED && proposed == VERSIONS, unknown(c))
	:: STEP(change[c].told == SENT && SWAPS(LAST(c)), swapped(c))
	:: STEP(change[c].told == SENT && TURNED_AWAY(LAST(c)), not_swapped(c))
	/* the response is lost */
#ifdef NO_CHANGE_ID
	:: STEP(change[c].told == SENT && proposed < VERSIONS, change[c].told = DECIDED)
#else
	:: STEP(change[c].told == SENT && !UNCHANGED(c), read_back(c))
#endif
	:: STEP(change[c].told == SENT, give_up(c))
	od
}

/* The write of one version, and its delivery to the registries. */
proctype Spreading(byte w) {
end:	do
	:: STEP(w < proposed && w > 0 && SWAPS(w) && !version[w].made, store_takes(w))
#ifdef NO_REVISION_CHECK
#define NEWS(e) version[w].made && in_force[e] != w
#else
#define NEWS(e) version[w].made && (SEE == OLDER_REFUSED || NEWER(w, in_force[e]))
#endif
	:: STEP(NEWS(0), offer(0, w))
#if ENTRIES > 1
	:: STEP(NEWS(1), offer(1, w))
#endif
	od
}

proctype Storing() {
end:	do
#if RESTORES > 0
	:: STEP(restores < RESTORES && count > 0, restore(0))
	:: STEP(restores < RESTORES && count > 1, restore(1))
#endif
#ifndef NO_REPAIR
	:: STEP(count < WRITES - 1 && NEWER(in_force[0], in_store), repair(0))
#if ENTRIES > 1
	:: STEP(count < WRITES - 1 && NEWER(in_force[1], in_store), repair(1))
#endif
#endif
	:: STEP(timeout, judge_end())
	od
}

init {
	atomic {
		version[0].made = true;
		version[0].revision = 1;
		version[0].change = CHANGES;
		run Storing();
		for (i : 0 .. CHANGES - 1) {
			run Operating(i)
		}
		for (i : 0 .. VERSIONS - 1) {
			run Spreading(i)
		}
		i = 0
	}
}
