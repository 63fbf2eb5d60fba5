/*
 * Model of the start protocol: one entry, guards with their runners, and a
 * network that loses, duplicates, reorders and delays messages. It checks that a
 * task starts at most once and that a "never started" response is true, whichever
 * processes restart in between. README.md in this directory lists what is not
 * modelled and why.
 *
 * Build with -DNO_BAR or a similar macro to remove one safeguard; spin then finds
 * the failure that the safeguard prevents. Build with -DLIVE for a network with
 * eventual delivery, to check that every task gets a response.
 */

/* ---- bounds ------------------------------------------------------------- */

#ifndef TASKS
#define TASKS 2                 /* tasks that callers submit to the entry */
#endif
#ifndef GUARDS
#define GUARDS 2                /* guards to choose from */
#endif
#ifndef STARTS
#define STARTS 3                /* Starts that the entry sends in total */
#endif
#ifndef SESSIONS
#define SESSIONS 2              /* sessions that one incarnation of a guard opens */
#endif
#ifndef GUARD_RESTARTS
#define GUARD_RESTARTS 1        /* total over all guards */
#endif
#ifndef ENTRY_RESTARTS
#define ENTRY_RESTARTS 1
#endif
#ifndef DROPS
#define DROPS 1                 /* sessions closed because their lease expired */
#endif
#ifndef LOSSES
#define LOSSES 2                /* LIVE only: messages lost */
#endif
#ifndef COPIES
#define COPIES 1                /* LIVE only: messages duplicated */
#endif

/* ---- situations that must be reachable ---------------------------------- */

/* A check that never reaches the situation that it is about is vacuous.
 * -DSEE=<name> makes reaching that situation an error, which spin must report. */
#define COMPLETED               1 /* a task ran and its result was received */
#define BARRED_LATE_START       2 /* a Start arrived after its number got a tombstone */
#define SETTLED_LATE_START      3 /* a Start arrived below the low watermark */
#define OLD_INCARNATION_START   4 /* a Start arrived at the guard's next incarnation */
#define DROPPED_SESSION_START   5 /* a Start arrived for a closed session */
#define STARTED_AFTER_CRASH     6 /* a call that a crashed guard had sent to the runner ran */
#define MOVED_TO_OTHER_GUARD    7 /* never started at one guard, dispatched to another */
#define TWO_OPEN_IN_SESSION     8 /* two numbers open in one session at once */
#define WATERMARK_OVER_OPEN     9 /* the watermark rose while another number was open */
#define NOT_RUN_AFTER_BAR      10 /* the caller got "not run" after "never started" */
#ifndef SEE
#define SEE 0
#endif
#define REACHED(situation) assert(SEE != situation)

/* ---- properties --------------------------------------------------------- */

/* -DONLY=<name> checks that property alone, to show which property a build
 * without a safeguard violates. */
#define ONE_START               1 /* a task starts at most once, over all guards */
#define TRUE_NEVER              2 /* a start reported as "never started" doesn't start, before or after */
#define TRUE_NOT_RUN            3 /* a task whose caller got "not run" never starts */
#define TRUE_RESULT             4 /* a task whose caller got the result has started */
#ifndef ONLY
#define ONLY 0
#endif
#define HOLDS(property, fact) assert((ONLY != 0 && ONLY != property) || (fact))

/* ---- state -------------------------------------------------------------- */

/* The state that a guard's ledger has for one sequence number of a session. */
mtype:ledger = {
	UNSEEN,                 /* no record: never received, or the record was deleted */
	WAITING,                /* in the guard's queue */
	RUNNING,                /* the runner has been called, or is about to be */
	FINISHED,               /* the runner returned a result */
	RUNNER_LOST,            /* the call to the runner failed: the task may have run */
	BARRED                  /* tombstone: never started and never will be */
};

/* The progress of one Start in the guard's process, in addition to its ledger. */
mtype:handling = { IDLE, QUEUED, CALLED, BEGUN };

/* The state of a task at the entry. */
mtype:task = {
	NEW,                    /* not dispatched yet */
	OPEN,                   /* a Start is outstanding */
	READY,                  /* known never to have started: may be dispatched again */
	DONE,                   /* the caller got the result */
	NOT_RUN,                /* the caller got "not run" */
	UNKNOWN                 /* the caller got "may have run" */
};

typedef Session {
	bool known;
	byte owner;             /* the entry's incarnation */
	byte low;               /* the low watermark that the guard has applied */
	byte reported;          /* the highest low watermark that the entry has sent */
	mtype:ledger ledger[STARTS + 1] = UNSEEN;       /* by sequence number, from 1 */
}

typedef Guard {
	byte incarnation;
	byte minted;            /* sessions opened by this incarnation */
	Session session[SESSIONS];
}

/* The entry's session with one guard. */
typedef Link {
	bool up;
	byte incarnation;       /* of the guard, from its response to Hello */
	byte session;
	byte next;              /* the sequence number of the next Start */
}

/* One Start: its identity, its messages in the network, its progress at the guard. */
typedef Start {
	byte guard;
	byte incarnation;
	byte session;
	byte seq;
	byte task;
	bool open;              /* the entry waits for a response */

	byte starts;            /* network: copies of Start */
	byte resolves;          /* network: copies of Resolve */
	bool finished;          /* network: the responses */
	bool never_started;
	bool unknown;

	mtype:handling at = IDLE;
	byte calls;             /* requests in the runner's socket buffer */

	bool began;             /* for the properties only: it started */
	bool said_never;        /* for the properties only: a guard sent "never started" */
}

Guard guard[GUARDS];
Link link[GUARDS];
Start start[STARTS];
mtype:task task[TASKS] = NEW;
byte begun[TASKS];              /* for the properties only: number of starts of each task */
byte entry_incarnation;
byte sent;                      /* Starts sent so far */
byte guard_restarts;
byte drops;
#ifdef LIVE
byte losses;
byte copies;
#endif

byte i;                         /* scratch variables: reset to 0 after each step */
byte j;
byte low;

#define THE_GUARD(a)    guard[start[a].guard]
#define THE_SESSION(a)  THE_GUARD(a).session[start[a].session]
#define LEDGER(a)        THE_SESSION(a).ledger[start[a].seq]
#define TASK(a)         task[start[a].task]

/* ---- the network -------------------------------------------------------- */

#ifdef LIVE
/* Eventual delivery: a message is delivered once unless a fault loses or
 * duplicates it; the number of faults is bounded. */
#define DELIVERED(message) message--
#else
/* Every sent message remains in the network and may arrive at any time, any number
 * of times or never: unbounded loss, duplication, reordering and delay. */
#define DELIVERED(message) skip
#endif

/* Safeguard (NO_ANSWER_MATCH): responses are correlated. The entry discards a
 * response that matches no open start by guard, incarnation, session and sequence
 * number. If it matched by guard and number alone, the caller of another task would
 * get a late result of an old session. open_start asserts that no two starts share
 * these four values, so the model discards a response to a closed start here. */
#ifdef NO_ANSWER_MATCH
#define LISTENED_TO(a) true
#else
#define LISTENED_TO(a) start[a].open
#endif

inline answer_finished(a) {
	printf("guard %d answers start %d: finished\n", start[a].guard, a);
	if
	:: LISTENED_TO(a) -> start[a].finished = true
	:: else
	fi
}

/* Without LIVE the entry may time out at any time, which covers this response. */
inline answer_unknown(a) {
	printf("guard %d answers start %d: unknown\n", start[a].guard, a);
#ifdef LIVE
#ifdef SILENT_WHEN_UNKNOWN
	skip
#else
	if
	:: start[a].open -> start[a].unknown = true
	:: else
	fi
#endif
#else
	skip
#endif
}

inline answer_never(a) {
	printf("guard %d answers start %d: never started\n", start[a].guard, a);
	HOLDS(TRUE_NEVER, !start[a].began);
	start[a].said_never = true;
	if
	:: start[a].open -> start[a].never_started = true
	:: else
	fi
}

/* ---- the guard ---------------------------------------------------------- */

/* Safeguard (NO_INCARNATION): incarnation check. A new guard process has no record
 * of what the previous incarnation started, and assigns the same session IDs again.
 * Without the check it would answer "never started" for a number that ran, and the
 * task would start a second time at another guard. A message names the incarnation
 * that it is addressed to, which is sufficient because incarnations only increase. */
#ifdef NO_INCARNATION
#define WRONG_INCARNATION(a) false
#else
#define WRONG_INCARNATION(a) (start[a].incarnation != THE_GUARD(a).incarnation)
#endif

/* Safeguard (NO_WATERMARK): low watermark. The guard deletes ledger records below
 * the watermark to bound its memory, and rejects these numbers. Without the
 * rejection a duplicate of a Start that is delayed past the watermark would look
 * like a new one and run again. The watermark is sufficient because it passes only
 * numbers whose outcome the entry has settled and never reuses. */
#ifdef NO_WATERMARK
#define SETTLED(a) false
#else
#define SETTLED(a) (start[a].seq < THE_SESSION(a).low)
#endif

/* Records the outcome of a start in the ledger. The guard keeps no records for
 * settled numbers and closed sessions. */
inline record(a, outcome) {
	if
	:: THE_SESSION(a).known && !SETTLED(a) -> LEDGER(a) = outcome
	:: else
	fi
}

/* Safeguard (NO_LEDGER_FIRST): write-ahead record. If the guard wrote the ledger
 * after the call to the runner, a Resolve in between would find no record, set a
 * tombstone and report "never started" for a running task. When it writes the
 * ledger before the call, the worst case is a number that is recorded but never
 * called, whose outcome is reported as unknown. */
inline accept_start(a) {
	printf("guard %d queues start %d\n", start[a].guard, a);
#ifndef NO_LEDGER_FIRST
	LEDGER(a) = WAITING;
#endif
	start[a].at = QUEUED
}

inline call_runner(a) {
	printf("guard %d calls its runner for start %d\n", start[a].guard, a);
#ifndef NO_LEDGER_FIRST
	record(a, RUNNING);
#endif
	start[a].calls++;
	start[a].at = CALLED
}

/* Safeguard (NO_BAR_ON_REFUSAL): tombstone on rejection. The guard records a
 * rejection (queue full, draining, deadline exceeded) before it responds. Without
 * the record it would accept a duplicate of the Start once there is capacity, after
 * the entry got the response that the task never started. */
inline refuse_start(a) {
	printf("guard %d refuses start %d\n", start[a].guard, a);
#ifndef NO_BAR_ON_REFUSAL
	record(a, BARRED);
#endif
	start[a].at = IDLE;
	answer_never(a)
}

/* Safeguard (NO_SESSION_DOUBT): an unknown session does not mean "not run". The
 * ledger of a closed session is deleted, so the guard does not know whether an
 * earlier copy started. If it responded "never started", a task that ran would
 * start again at another guard. */
inline answer_unknown_session(a) {
#ifdef NO_SESSION_DOUBT
	answer_never(a)
#else
	answer_unknown(a)
#endif
}

/* A Start arrives. A duplicate of a recorded Start gets the recorded outcome. */
inline receive_start(a, refused) {
	printf("a copy of Start %d reaches guard %d\n", a, start[a].guard);
	if
	:: WRONG_INCARNATION(a) ->
		REACHED(OLD_INCARNATION_START);
		answer_unknown(a)
	:: else ->
		if
		:: !THE_SESSION(a).known ->
			REACHED(DROPPED_SESSION_START);
			answer_unknown_session(a)
		:: THE_SESSION(a).known && SETTLED(a) ->
			REACHED(SETTLED_LATE_START);
			answer_unknown(a)
		:: else ->
			if
			:: LEDGER(a) == UNSEEN && refused -> refuse_start(a)
			:: LEDGER(a) == UNSEEN && !refused -> accept_start(a)
			:: LEDGER(a) == FINISHED -> answer_finished(a)
			:: LEDGER(a) == RUNNER_LOST -> answer_unknown(a)
			:: LEDGER(a) == BARRED ->
				REACHED(BARRED_LATE_START);
				answer_never(a)
			:: else
			fi
		fi
	fi
}

/* Safeguard (NO_BAR): tombstone for an unseen number. The Start may still be in
 * transit. Without the tombstone it would run after the entry got the response that
 * it never started. The tombstone remains until the low watermark passes the number;
 * from then on the watermark check rejects it. */
inline bar(a) {
#ifndef NO_BAR
	LEDGER(a) = BARRED;
#endif
	answer_never(a)
}

/* A Resolve arrives. The guard delays its response while the task is queued or
 * running (long poll). */
#define HELD(a) \
	(!WRONG_INCARNATION(a) && THE_SESSION(a).known && !SETTLED(a) && \
	(LEDGER(a) == WAITING || LEDGER(a) == RUNNING))

inline receive_resolve(a) {
	printf("a copy of Resolve %d reaches guard %d\n", a, start[a].guard);
	if
	:: WRONG_INCARNATION(a) -> answer_unknown(a)
	:: else ->
		if
		:: !THE_SESSION(a).known -> answer_unknown_session(a)
		:: THE_SESSION(a).known && SETTLED(a) -> answer_unknown(a)
		:: else ->
			if
			:: LEDGER(a) == UNSEEN -> bar(a)
			:: LEDGER(a) == FINISHED -> answer_finished(a)
			:: LEDGER(a) == RUNNER_LOST -> answer_unknown(a)
			:: LEDGER(a) == BARRED -> answer_never(a)
			:: else
			fi
		fi
	fi
}

/* The runner reads a request from its socket and starts the task. */
inline begin(a) {
	printf("runner %d begins task %d for start %d\n", start[a].guard, start[a].task, a);
	start[a].calls--;
	begun[start[a].task]++;
	start[a].began = true;
	HOLDS(ONE_START, begun[start[a].task] <= 1);
	HOLDS(TRUE_NOT_RUN, TASK(a) != NOT_RUN);
	HOLDS(TRUE_NEVER, !start[a].said_never);
	if
	:: start[a].at == CALLED -> start[a].at = BEGUN
	:: else -> REACHED(STARTED_AFTER_CRASH)
	fi
}

/* The runner rejects the call: it has no free slot and has not started the task. The
 * guard responds "never started" itself if it is still the process that called. */
inline runner_refuses(a) {
	printf("runner %d refuses start %d\n", start[a].guard, a);
	start[a].calls--;
	refuse_start(a)
}

inline runner_ends(a) {
	printf("runner %d ends start %d\n", start[a].guard, a);
	start[a].at = IDLE;
	record(a, FINISHED);
	answer_finished(a)
}

/* Safeguard (CALL_AGAIN): no retry of the call to the runner. The guard's connection
 * to the runner fails or its timeout expires, but the request may still be in the
 * runner's socket buffer. If the guard sent it again, the task would start twice. */
inline runner_lost(a) {
	printf("guard %d loses its runner's answer for start %d\n", start[a].guard, a);
#ifdef CALL_AGAIN
	start[a].calls++
#else
	start[a].at = IDLE;
	record(a, RUNNER_LOST);
	answer_unknown(a)
#endif
}

/* Closes a session. Its queued tasks never start, and the guard responds "never
 * started" to Starts that are still pending; started tasks continue. */
inline drop_session(g, s) {
	if
	:: guard[g].session[s].known -> printf("guard %d drops session %d\n", g, s)
	:: else
	fi;
	guard[g].session[s].known = false;
	guard[g].session[s].owner = 0;
	guard[g].session[s].low = 0;
	guard[g].session[s].reported = 0;
	for (i : 1 .. STARTS) {
		guard[g].session[s].ledger[i] = UNSEEN
	}
	for (i : 0 .. STARTS - 1) {
		if
		:: start[i].guard == g && start[i].session == s && start[i].at == QUEUED ->
			start[i].at = IDLE;
			answer_never(i)
		:: else
		fi
	}
}

/* The guard's process crashes and a new one with an empty ledger replaces it. Runs
 * that the old process started continue, and the runner may still read requests that
 * the old process sent. */
inline restart_guard(g) {
	printf("guard %d restarts\n", g);
	guard_restarts++;
	guard[g].incarnation++;
	guard[g].minted = 0;
	for (j : 0 .. STARTS - 1) {
		if
		:: start[j].guard == g -> start[j].at = IDLE
		:: else
		fi
	}
	for (j : 0 .. SESSIONS - 1) {
		drop_session(g, j)
	}
}

/* Every Start, Resolve and Ping carries the low watermark. The model delivers it
 * separately, one number at a time, or not at all: the arrival of a message with its
 * watermark equals the arrival of the watermark followed by that of the message. */
inline raise_watermark(g, s) {
	printf("guard %d forgets number %d of session %d\n", g, guard[g].session[s].low, s);
	guard[g].session[s].ledger[guard[g].session[s].low] = UNSEEN;
	for (i : 0 .. STARTS - 1) {
		if
		:: start[i].guard == g && start[i].session == s &&
		   start[i].seq == guard[g].session[s].low && start[i].at == QUEUED ->
			start[i].at = IDLE;
			answer_never(i)
		:: else
		fi
	}
	guard[g].session[s].low++
}

/* ---- the entry ---------------------------------------------------------- */

/* Hello, the handshake: the guard opens a session and closes those of the entry's
 * older incarnations. A Hello whose response is lost leaves a session without a
 * Start, which has no effect, so request and response are one step here.
 *
 * Safeguard (SESSION_ID_REUSED): an incarnation assigns a session ID once. If it
 * reused the ID after closing the session, delayed Starts of the old session would
 * find an empty ledger for their sequence numbers. */
inline hello(g) {
	for (j : 0 .. SESSIONS - 1) {
		if
		:: guard[g].session[j].known && guard[g].session[j].owner < entry_incarnation ->
			drop_session(g, j)
		:: else
		fi
	}
#ifdef SESSION_ID_REUSED
	drop_session(g, 0);
	j = 0;
#else
	j = guard[g].minted;
#endif
	guard[g].minted++;
	guard[g].session[j].known = true;
	guard[g].session[j].owner = entry_incarnation;
	guard[g].session[j].low = 1;
	guard[g].session[j].reported = 1;
	link[g].up = true;
	link[g].incarnation = guard[g].incarnation;
	link[g].session = j;
	link[g].next = 1;
	printf("entry says Hello to guard %d incarnation %d: session %d\n", g, guard[g].incarnation, j)
}

/* The entry sends Hello when it has no session, or when it has learned that its
 * session is closed; until then it may continue to use a closed session. The model
 * sends Hello only when there is a task to dispatch: an earlier Hello would add no
 * behaviour, since the network delays the Starts that follow it arbitrarily. */
#define SESSION_GONE(g) \
	(!link[g].up || link[g].incarnation != guard[g].incarnation || \
	!guard[g].session[link[g].session].known)
#define CAN_HELLO(g) (SESSION_GONE(g) && guard[g].minted < SESSIONS)

/* Symmetry reduction: tasks are interchangeable, and so are guards. Task t is
 * dispatched after task t-1, and the first Start goes to guard 0. */
#define MAY_START(t, g) \
	(sent < STARTS && (sent > 0 || g == 0) && \
	(task[t] == READY || (task[t] == NEW && (t == 0 || task[t - 1] != NEW))))

inline open_start(t, g) {
	printf("entry sends Start %d of task %d to guard %d: session %d number %d\n",
		sent, t, g, link[g].session, link[g].next);
	start[sent].guard = g;
	start[sent].incarnation = link[g].incarnation;
	start[sent].session = link[g].session;
	start[sent].seq = link[g].next;
	start[sent].task = t;
	start[sent].open = true;
	start[sent].starts = 1;
#ifndef LIVE
	/* The entry may send Resolve at any time from now on and the network may delay
	 * it, so sending it immediately covers every later time. */
	start[sent].resolves = 1;
#endif
	for (i : 0 .. STARTS - 1) {
		if
		:: i < sent && start[i].guard == g && start[i].session == link[g].session &&
		   start[i].incarnation == link[g].incarnation ->
#ifndef SESSION_ID_REUSED
			assert(start[i].seq != link[g].next);
#endif
			if
			:: start[i].open -> REACHED(TWO_OPEN_IN_SESSION)
			:: else
			fi
		:: i < sent && start[i].task == t && start[i].guard != g ->
			REACHED(MOVED_TO_OTHER_GUARD)
		:: else
		fi
	}
	link[g].next++;
	sent++;
	task[t] = OPEN
}

/* The entry settles a start: it discards later responses, and the low watermark may
 * pass the number. The watermark is the lowest number still open in the session, or
 * the next number when none is open. */
inline close_start(a) {
	start[a].open = false;
#ifndef NO_ANSWER_MATCH
	start[a].finished = false;
#endif
	start[a].never_started = false;
	start[a].unknown = false;
	if
	:: start[a].incarnation == THE_GUARD(a).incarnation && THE_SESSION(a).known ->
		low = 0;
		for (i : 0 .. STARTS - 1) {
			if
			:: i < sent && start[i].guard == start[a].guard &&
			   start[i].incarnation == start[a].incarnation &&
			   start[i].session == start[a].session ->
				if
				:: start[i].open && (low == 0 || start[i].seq < low) -> low = start[i].seq
				:: else
				fi
			:: else
			fi
		}
		if
		:: low == 0 ->
			for (i : 0 .. STARTS - 1) {
				if
				:: i < sent && start[i].guard == start[a].guard &&
				   start[i].incarnation == start[a].incarnation &&
				   start[i].session == start[a].session && start[i].seq >= low ->
					low = start[i].seq + 1
				:: else
				fi
			}
		:: else ->
			if
			:: low > THE_SESSION(a).reported -> REACHED(WATERMARK_OVER_OPEN)
			:: else
			fi
		fi;
		THE_SESSION(a).reported = low
	:: else
	fi
}

inline take_finished(a) {
	printf("entry takes start %d as finished\n", a);
	REACHED(COMPLETED);
	HOLDS(TRUE_RESULT, begun[start[a].task] >= 1);
	TASK(a) = DONE;
	close_start(a)
}

#ifdef NO_ANSWER_MATCH
inline take_by_number(a) {
	for (j : 0 .. STARTS - 1) {
		if
		:: start[j].open && start[j].guard == start[a].guard && start[j].seq == start[a].seq ->
			printf("entry takes the answer to start %d for start %d\n", a, j);
			take_finished(j)
		:: else
		fi
	}
}
#endif

inline take_never(a) {
	printf("entry takes start %d as never started\n", a);
	TASK(a) = READY;
	close_start(a)
}

/* Safeguard (REDISPATCH_UNKNOWN): no retry after an unknown outcome. After a new
 * guard incarnation, a closed session, a settled number or no response before the
 * deadline, the entry does not know whether the task ran. If it dispatched the task
 * again, the task could start twice. */
inline take_unknown(a) {
	printf("entry takes start %d as unknown\n", a);
#ifdef REDISPATCH_UNKNOWN
	TASK(a) = READY;
#else
	TASK(a) = UNKNOWN;
#endif
	close_start(a)
}

inline tell_not_run(t) {
	printf("entry tells the caller that task %d did not run\n", t);
	HOLDS(TRUE_NOT_RUN, begun[t] == 0);
	if
	:: task[t] == READY -> REACHED(NOT_RUN_AFTER_BAR)
	:: else
	fi;
	task[t] = NOT_RUN
}

/* The entry's process crashes. Callers learn from its peers that the outcome of its
 * unfinished tasks is unknown; its next incarnation knows no session and no start. */
inline restart_entry() {
	printf("entry restarts\n");
	entry_incarnation++;
	for (i : 0 .. STARTS - 1) {
		start[i].open = false;
		start[i].finished = false;
		start[i].never_started = false;
		start[i].unknown = false
	}
	for (i : 0 .. TASKS - 1) {
		if
		:: task[i] == OPEN || task[i] == READY -> task[i] = UNKNOWN
		:: else
		fi
	}
	for (i : 0 .. GUARDS - 1) {
		link[i].up = false;
		link[i].incarnation = 0;
		link[i].session = 0;
		link[i].next = 0
	}
}

/* ---- processes ---------------------------------------------------------- */

/* One atomic step, executable when enabled is true. */
#define STEP(enabled, action) d_step { enabled -> action; i = 0; j = 0; low = 0 }

#ifdef LIVE
#define ANSWER_COMES(a) \
	(start[a].finished || start[a].never_started || start[a].unknown)
#endif

/* The messages of one Start, and the steps of its guard and runner for it. */
proctype Handling(byte a) {
end:	do
	/* network: to the guard */
	:: STEP(start[a].starts > 0, DELIVERED(start[a].starts); receive_start(a, false))
	:: STEP(start[a].starts > 0, DELIVERED(start[a].starts); receive_start(a, true))
	:: STEP(start[a].resolves > 0 && !HELD(a), DELIVERED(start[a].resolves); receive_resolve(a))
	/* network: to the entry */
	:: STEP(start[a].open && start[a].finished, take_finished(a))
	:: STEP(start[a].open && start[a].never_started, take_never(a))
#ifdef NO_ANSWER_MATCH
	:: STEP(start[a].finished && !start[a].open, take_by_number(a))
#endif
#ifdef LIVE
	:: STEP(start[a].open && start[a].unknown, take_unknown(a))
#else
	:: STEP(start[a].open, take_unknown(a))
#endif
	/* the guard's queue */
	:: STEP(start[a].at == QUEUED, call_runner(a))
	:: STEP(start[a].at == QUEUED, refuse_start(a))
#ifdef NO_LEDGER_FIRST
	:: STEP(start[a].at == CALLED && LEDGER(a) == UNSEEN, record(a, RUNNING))
#endif
	/* the runner */
	:: STEP(start[a].calls > 0, begin(a))
	:: STEP(start[a].calls > 0 && start[a].at == CALLED, runner_refuses(a))
	:: STEP(start[a].at == BEGUN, runner_ends(a))
#ifdef CALL_AGAIN
	:: STEP(start[a].at == CALLED && start[a].calls < 2, runner_lost(a))
#else
	:: STEP((start[a].at == CALLED || start[a].at == BEGUN), runner_lost(a))
#endif
#ifdef LIVE
	/* the entry's retry timer: the last Resolve got a response or was lost */
#ifndef NO_ASK_AGAIN
	:: STEP(start[a].open && start[a].resolves == 0 && !ANSWER_COMES(a), start[a].resolves = 1)
#endif
	/* faults */
	:: STEP(start[a].starts > 0 && losses < LOSSES, losses++; start[a].starts--)
	:: STEP(start[a].resolves > 0 && losses < LOSSES, losses++; start[a].resolves--)
	:: STEP(start[a].finished && losses < LOSSES, losses++; start[a].finished = false)
	:: STEP(start[a].never_started && losses < LOSSES, losses++; start[a].never_started = false)
	:: STEP(start[a].unknown && losses < LOSSES, losses++; start[a].unknown = false)
	:: STEP(start[a].starts > 0 && copies < COPIES, copies++; start[a].starts++)
	:: STEP(start[a].resolves > 0 && copies < COPIES, copies++; start[a].resolves++)
#endif
	od
}

#define SESSION_STEPS(g, s) \
	   STEP(drops < DROPS && guard[g].session[s].known, drops++; drop_session(g, s)) \
	:: STEP(guard[g].session[s].low < guard[g].session[s].reported, raise_watermark(g, s))

/* One guard's restarts, the expiry of its session leases, its low watermarks. */
proctype Guarding(byte g) {
end:	do
	:: STEP(guard_restarts < GUARD_RESTARTS && guard[g].minted > 0, restart_guard(g))
	:: SESSION_STEPS(g, 0)
#if SESSIONS > 1
	:: SESSION_STEPS(g, 1)
#endif
#if SESSIONS > 2
	:: SESSION_STEPS(g, 2)
#endif
	od
}

/* One task at the entry. */
proctype Tasking(byte t) {
end:	do
	:: STEP(MAY_START(t, 0) && link[0].up, open_start(t, 0))
	:: STEP(MAY_START(t, 0) && CAN_HELLO(0), hello(0); open_start(t, 0))
#if GUARDS > 1
	:: STEP(MAY_START(t, 1) && link[1].up, open_start(t, 1))
	:: STEP(MAY_START(t, 1) && CAN_HELLO(1), hello(1); open_start(t, 1))
#endif
	:: STEP(task[t] == READY, tell_not_run(t))
#ifdef LIVE
	/* no session or no Start is left within the model's bounds: rejected immediately */
	:: STEP(task[t] == NEW, tell_not_run(t))
#endif
	od
}

init {
	atomic {
		for (i : 0 .. GUARDS - 1) {
			run Guarding(i)
		}
		for (i : 0 .. TASKS - 1) {
			run Tasking(i)
		}
		for (i : 0 .. STARTS - 1) {
			run Handling(i)
		}
		i = 0
	}
end:	do
	:: STEP(entry_incarnation < ENTRY_RESTARTS, restart_entry())
	od
}

#ifdef LIVE
/* With a bounded number of faults every execution ends, and by then every start is
 * closed and every task has a response, although the entry never times out by
 * itself. Safeguards: the entry sends Resolve again after a lost request or response
 * (NO_ASK_AGAIN), and the guard responds "unknown" to requests that it cannot match
 * instead of ignoring them (SILENT_WHEN_UNKNOWN). Without either one a task stays
 * open for ever. */
#define ANSWERED(t) (task[t] == DONE || task[t] == NOT_RUN || task[t] == UNKNOWN)
#if TASKS > 2
ltl all_answered { <>(ANSWERED(0) && ANSWERED(1) && ANSWERED(2)) }
#else
ltl all_answered { <>(ANSWERED(0) && ANSWERED(1)) }
#endif
#endif
