/*
 * Model of cordons: an operator closes a data centre and takes it back, two entries learn
 * it from the store and from each other, and one guard learns it from both. Answers of the
 * store arrive late and in any order, an entry or the guard may restart, and an entry may
 * stand still for any time. It checks that nobody acts by an older state than it has known.
 * README.md in this directory lists what is not modelled.
 *
 * Build with -DOLDER_APPLIES or a similar macro to remove one safeguard.
 */

#ifndef CHANGES
#define CHANGES 2               /* times that the operator closes or opens the data centre */
#endif
#ifndef RESTARTS
#define RESTARTS 1              /* restarts of an entry or of the guard, in all */
#endif
#ifndef ORDERS
#define ORDERS 1                /* starts that each entry orders */
#endif

/* ---- properties --------------------------------------------------------- */

#define ENTRY_NEWEST 1          /* an entry orders no start while the newest state that it has known is closed */
#define GUARD_NEWEST 2          /* the guard starts nothing while the newest state that it has known is closed */
#define GUARD_INFORMED 3        /* the guard knows a state no older than that which an order's entry has sent */
#ifndef ONLY
#define ONLY 0
#endif
#define HOLDS(property, condition) assert((ONLY != 0 && ONLY != property) || (condition))

/* ---- situations that must be reachable ---------------------------------- */

#define STALE_ORDER_REJECTED 1  /* the guard rejects an order of an entry that has missed the cordon */
#define LATE_ANSWER_IGNORED 2   /* an answer of the store arrives after a newer one */
#define OPENED_AGAIN 3          /* a start after the data centre was taken back */
#ifndef SEE
#define SEE 0
#endif
#define REACHED(situation) assert(SEE != situation)

#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* the store: the state of the data centre by revision; revision 0 means unknown */
byte newest = 1;
bool closed[CHANGES + 2];

/* what each entry goes by, and the newest that it has known since its start */
byte known[2];
byte seen[2];
/* states under way to an entry: an answer of the store, and one of its peer */
byte answer[4];

/* what the guard goes by, and the newest that it has known since its start */
byte guardKnown;
byte guardSeen;

#define SESSION 2               /* messages under way in a session */
mtype = { notice, order };
chan session[2] = [SESSION] of { mtype, byte };
/* the state that an entry has sent in its session */
byte sent[2];
byte ordered[2];
byte restarts;

inline apply(e, revision) {
	if
	:: revision > known[e] -> known[e] = revision
	:: else ->
		REACHED(LATE_ANSWER_IGNORED);
#ifdef OLDER_APPLIES
		known[e] = revision
#else
		skip
#endif
	fi;
	seen[e] = MAX(seen[e], revision)
}

/* an entry orders starts by a state that it knows and has sent */
#ifdef START_UNKNOWN
#define MAY_ORDER(knows, told) true
#else
#ifdef NO_NOTICE_FIRST
#define MAY_ORDER(knows, told) (knows > 0)
#else
#define MAY_ORDER(knows, told) (told > 0 && closed[told] == closed[knows])
#endif
#endif

inline notify(e) {
	session[e] ! notice(known[e]);
	sent[e] = known[e]
}

/* a new session begins with what the entry knows */
inline attach(e) {
	do
	:: nempty(session[e]) -> session[e] ? _, _
	:: empty(session[e]) -> break
	od;
	sent[e] = 0;
	if
	:: known[e] > 0 -> notify(e)
	:: else -> skip
	fi
}

active proctype operator() {
	do
	:: newest <= CHANGES -> atomic { closed[newest + 1] = !closed[newest]; newest++ }
	:: break
	od
}

active [2] proctype entry() {
	do
	:: atomic { answer[_pid - 1] == 0 -> answer[_pid - 1] = newest }
	:: atomic { answer[_pid + 1] == 0 && known[2 - _pid] > 0 -> answer[_pid + 1] = known[2 - _pid] }
	:: atomic { answer[_pid - 1] > 0 -> apply(_pid - 1, answer[_pid - 1]); answer[_pid - 1] = 0 }
	:: atomic { answer[_pid + 1] > 0 -> apply(_pid - 1, answer[_pid + 1]); answer[_pid + 1] = 0 }
	:: atomic { known[_pid - 1] != sent[_pid - 1] && len(session[_pid - 1]) < SESSION -> notify(_pid - 1) }
	:: atomic {
		ordered[_pid - 1] < ORDERS && len(session[_pid - 1]) < SESSION &&
		MAY_ORDER(known[_pid - 1], sent[_pid - 1]) && !closed[known[_pid - 1]] ->
		HOLDS(ENTRY_NEWEST, known[_pid - 1] > 0 && !closed[seen[_pid - 1]]);
		ordered[_pid - 1]++;
#ifdef NO_NOTICE_FIRST
		session[_pid - 1] ! order(known[_pid - 1])
#else
		session[_pid - 1] ! order(sent[_pid - 1])
#endif
	   }
	:: atomic {
		restarts < RESTARTS ->
		restarts++;
		known[_pid - 1] = 0; seen[_pid - 1] = 0;
		answer[_pid - 1] = 0; answer[_pid + 1] = 0;
		attach(_pid - 1)
	   }
	od
}

active proctype guard() {
	byte revision;
	byte from;
	do
	:: atomic {
		if
		:: session[0] ? notice(revision)
		:: session[1] ? notice(revision)
		fi;
		if
		:: revision > guardKnown -> guardKnown = revision
		:: else ->
#ifdef GUARD_TAKES_OLDER
			guardKnown = revision
#else
			skip
#endif
		fi;
		guardSeen = MAX(guardSeen, revision)
	   }
	:: atomic {
		if
		:: session[0] ? order(revision)
		:: session[1] ? order(revision)
		fi;
		if
#ifndef GUARD_TRUSTS_ENTRY
		:: closed[guardKnown] -> REACHED(STALE_ORDER_REJECTED)
#endif
		:: else ->
			HOLDS(GUARD_NEWEST, !closed[guardSeen]);
			HOLDS(GUARD_INFORMED, guardSeen >= revision);
			if
			:: guardKnown >= 3 -> REACHED(OPENED_AGAIN)
			:: else -> skip
			fi
		fi
	   }
	:: atomic {
		restarts < RESTARTS ->
		restarts++;
		guardKnown = 0; guardSeen = 0;
		attach(0);
		attach(1)
	   }
	od
}
