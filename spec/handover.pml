/*
 * Model of jobs that are handed over: a first and a second entry, a guard with its runner,
 * and a caller that leaves and submits its job again after RESEND, to either entry. Time
 * passes in ticks of 100 ms, with every upper bound rounded up, so that the limits of the
 * stream, of the guard and of the lease are checked against the time after which the caller
 * returns. Entries die, are suspended, shut down and are cut off. It checks that the task
 * never runs twice at a time, that "not run" is true and that the caller is answered.
 * README.md in this directory lists what is not modelled.
 *
 * Build with -DNO_SILENCE or a similar macro to remove one safeguard.
 */

/* ---- bounds, in ticks --------------------------------------------------- */

#ifndef SILENCE
#define SILENCE 5               /* 400 ms without a message end the stream; 25 ms until the stop is sent */
#endif
#ifndef GUARD_SILENCE
#define GUARD_SILENCE 6         /* 520 ms without a message end the session at the guard; 25 ms for the stop */
#endif
#ifndef LEASE
#define LEASE 7                 /* 630 ms from the last renewal, and 50 ms until the run has ended */
#endif
#ifndef RESEND
#define RESEND 13               /* the caller submits its job again 1.3 s after its connection broke */
#endif

/* ---- numbers of faults -------------------------------------------------- */

#ifndef FAULTS
#define FAULTS 1                /* deaths, suspensions and cuts, in total */
#endif
/* kinds of faults that happen; of deaths and suspensions 1 at the first entry, 2 at the second, 3 at both */
#ifndef DEATHS
#define DEATHS 3
#endif
#ifndef SUSPENDS
#define SUSPENDS 3
#endif
#ifndef CUTS
#define CUTS 1                  /* between the entries; what was sent arrives after the cut */
#endif
#ifndef GUARD_CUTS
#define GUARD_CUTS 1            /* between the second entry and the guard */
#endif
#ifndef LEAVES
#define LEAVES 1                /* times that the caller leaves */
#endif
#ifndef HALF_OPEN
#define HALF_OPEN 0             /* times that it leaves while its job is handed over, and the first entry doesn't notice */
#endif
#ifndef DRAINS
#define DRAINS 2                /* entries that shut down */
#endif
/* With RESPONSIVE the runner executes every stop within the tick. Otherwise it may ignore stops,
   and a run ends with its lease. */

/* ---- properties --------------------------------------------------------- */

#define ONE_RUN 1               /* the task has one run at a time */
#define NOT_RUN 2               /* a job reported as not run has not run and never runs */
#define AFTER_DONE 3            /* the task doesn't start after its caller has the result */
#ifndef ONLY
#define ONLY 0
#endif
#define HOLDS(property, condition) assert((ONLY != 0 && ONLY != property) || (condition))

/* ---- situations that must be reachable ---------------------------------- */

#define COMPLETED_THERE 1       /* the caller gets the result from the second entry by the first */
#define JOINED_FIRST 2          /* the caller returns to the first entry while its job is handed over */
#define JOINED_SECOND 3         /* the caller returns to the second entry, which runs its job */
#define LOST_AFTER_RUN 4        /* the answer of a job that has run is lost */
#define CACHED_THERE 5          /* … and the second entry still has it when the caller returns */
#define LATE_JOB 6              /* a job is read when its message is too old */
#define CANCELLED_LATE 7        /* a resumed second entry cancels because of the stream's age */
#define LEASE_ENDED 8           /* a run of the second entry ends with its lease */
#define NOT_TAKEN_DRAINING 9    /* both entries shut down: the job is reported as not run */
#define RETURNED 10             /* the task runs again after the caller has returned */
#define TAKEN_BACK 11           /* the first entry runs a job that the second did not take */
#ifndef SEE
#define SEE 0
#endif
#define REACHED(situation) assert(SEE != situation)

/* ---- state -------------------------------------------------------------- */

#define FIRST 0
#define SECOND 1

/* the job at an entry */
#define NONE 0
#define OWN 1                   /* to be run by this entry, not ordered */
#define RUN 2                   /* ordered */
#define STOPPING 3              /* no one waits for it, or its outcome is unknown; its run may not be over */
#define HANDED 4                /* in flight at the other entry */
#define DONE 5                  /* completed; the answer is cached beyond RESEND */

bool up[2], asleep[2], drains[2];
byte job[2];
bool waits[2];                  /* a caller waits at this entry for the answer, as far as it knows */
bool request[2];                /* the caller's request is unread */
bool gone[2];                   /* the end of the caller's connection is unread */
bool remote;                    /* the first entry waits for the second's answer */

/* the stream: what each side has open, time since its last read, whether it has sent in this tick */
bool open[2];
byte age[2];
bool sent[2];
bool cut;
mtype = { JOB, CANCEL, BEAT, END, COMPLETED, REFUSED, EXPIRED, NOT_TAKEN, BACK };
#define QUEUE 6
/* messages to the first and to the second entry, with the time since they were made; only the first
   entry's messages carry it */
chan to[2] = [QUEUE] of { mtype, byte };
byte handovers;

/* the guard: for each entry its session, time since its last message, its run, and that run's lease */
#define OPEN 1
#define ENDING 2
#define FINISHED 3              /* completed, not reported */
bool attached[2];
bool guard_cut;                 /* the second entry is cut off from the guard */
byte silent[2];
byte run_state[2];
byte lease[2];                  /* 0: the runner has no run of this entry */
bool has_run;                   /* the task has started */

/* the caller */
#define WAITING 1
#define AWAY 2
#define ANSWERED 3
byte caller;
byte caller_at;
byte clock;                     /* time since its connection broke */
bool again;                     /* it has submitted its job before */
bool told_not_run, told_done;

byte faults, leaves, half_open, drained;

#define LIVELY(e) (up[e] && !asleep[e])
#define LINKED(e) (!(e == SECOND && guard_cut))
#define BEATING(e) (open[e] && STREAM_IN_USE(e))
/* a stream without jobs in flight carries no heartbeats, and its silence ends nothing */
#define STREAM_IN_USE(e) (e == FIRST && job[FIRST] == HANDED || e == SECOND && remote)
#define SEND(e, m) assert(len(to[1 - e]) < QUEUE); to[1 - e] ! m, 0; sent[e] = true
#define ANSWER_NONE 0
#define ANSWER_DONE 1
#define ANSWER_NOT_RUN 2
#define ANSWER_MAYBE 3

inline break_connection() {
	caller = AWAY; clock = 0; again = true
}

/* Answers everyone who waits at the entry for the job. */
inline answer(e, kind) {
	if
	:: waits[e] && caller == WAITING && caller_at == e && !request[e] ->
		if
		:: kind == ANSWER_DONE -> caller = ANSWERED; told_done = true
		:: kind == ANSWER_NOT_RUN ->
			HOLDS(NOT_RUN, again || !has_run);
			told_not_run = !again;
			caller = ANSWERED;
			if
			:: drains[FIRST] && drains[SECOND] && e == FIRST && handovers > 0 -> REACHED(NOT_TAKEN_DRAINING)
			:: else
			fi
		:: else -> break_connection()
		fi
	:: else
	fi;
	waits[e] = false;
	if
	:: e == SECOND && remote ->
		remote = false;
		if
		:: kind == ANSWER_DONE -> SEND(SECOND, COMPLETED)
		:: kind == ANSWER_NOT_RUN -> SEND(SECOND, REFUSED)
		:: else -> SEND(SECOND, EXPIRED)
		fi
	:: else
	fi
}

/* Cancels the job if no one waits for it. */
inline drop_unwanted(e) {
	if
	:: !waits[e] && !(e == SECOND && remote) ->
		if
		:: job[e] == OWN -> job[e] = NONE
		:: job[e] == RUN -> job[e] = STOPPING
		:: job[e] == HANDED -> job[e] = NONE; if :: e == FIRST && open[FIRST] -> SEND(FIRST, CANCEL) :: else fi
		:: else
		fi
	:: else
	fi
}

/* Handles the end of the caller's connection; the caller may have returned since. */
inline notice(e) {
	gone[e] = false;
	waits[e] = (waits[e] && caller == WAITING && caller_at == e && !request[e]);
	drop_unwanted(e)
}

inline lose_job() {
	if
	:: job[FIRST] == HANDED ->
		if
		:: has_run -> REACHED(LOST_AFTER_RUN)
		:: else
		fi;
#ifdef RUN_AFTER_LOST
		job[FIRST] = OWN
#else
		job[FIRST] = NONE;
#ifdef REJECT_AFTER_LOST
		answer(FIRST, ANSWER_NOT_RUN)
#else
		answer(FIRST, ANSWER_MAYBE)
#endif
#endif
	:: else
	fi
}

inline close_stream(e) {
	open[e] = false;
	if
	:: e == FIRST -> lose_job()
	:: else ->
#ifndef NO_END_CANCEL
		remote = false;
		drop_unwanted(SECOND)
#else
		skip
#endif
	fi
}

/* ---- the entries -------------------------------------------------------- */

#ifdef NO_SILENCE
#define OVERDUE(e) false
#else
#define OVERDUE(e) (BEATING(e) && age[e] >= SILENCE)
#endif
#ifdef NO_GAP_CHECK
#define TOO_LATE(e) false
#else
#define TOO_LATE(e) OVERDUE(e)
#endif
#define MAY_HAND_OVER (open[FIRST] && handovers == 0 )
#define READABLE(e) (len(to[e]) > 0 && !cut)
#define REQUEST_DUE(e) (request[e] && job[e] != STOPPING)
#define HAS_LEFT(e) (gone[e] && !(caller == WAITING && caller_at == e))
/* the request is read before the end of its connection */
#define NOTICE_DUE(e) (gone[e] && !(request[e] && HAS_LEFT(e)))
#define GUARD_DUE(e) (attached[e] && LINKED(e) && (silent[e] > 0 || job[e] == STOPPING && run_state[e] == OPEN))
#define REPORT_DUE(e) (attached[e] && LINKED(e) && (run_state[e] == FINISHED || job[e] == STOPPING && run_state[e] == NONE || job[e] == RUN && run_state[e] == NONE))
#define ATTACH_DUE(e) (!attached[e] && LINKED(e))
#define DROPPED(e) (!attached[e] && job[e] == RUN)
/* the work that an entry does within the tick unless it is suspended */
#define BUSY(e) (LIVELY(e) && (NOTICE_DUE(e) || REQUEST_DUE(e) || GUARD_DUE(e) || REPORT_DUE(e) || ATTACH_DUE(e) || DROPPED(e) || READABLE(e) || OVERDUE(e) || BEATING(e) && !sent[e]))

inline submit(e, hands_over) {
	request[e] = false;
	waits[e] = true;
	if
	:: job[e] == DONE ->
		if
		:: e == SECOND && again -> REACHED(CACHED_THERE)
		:: else
		fi;
		answer(e, ANSWER_DONE)
	:: job[e] == HANDED ->
		REACHED(JOINED_FIRST);
#ifdef NO_JOIN
		job[e] = OWN
#endif
	:: job[e] == OWN || job[e] == RUN ->
		if
		:: e == SECOND && remote -> REACHED(JOINED_SECOND)
		:: else
		fi
#ifndef NO_STREAM_CHECK
	/* the caller has left while its request was unread */
	:: job[e] == NONE && hands_over && HAS_LEFT(e) -> notice(e)
	:: job[e] == NONE && hands_over && !HAS_LEFT(e) ->
#else
	:: job[e] == NONE && hands_over ->
#endif
		handovers++;
		job[e] = HANDED;
		age[e] = 0;
		SEND(FIRST, JOB)
	:: job[e] == NONE && !hands_over && !drains[e] -> job[e] = OWN
	:: job[e] == NONE && !hands_over && drains[e] -> answer(e, ANSWER_NOT_RUN)
	fi
}

inline take_over(takes) {
	if
	:: job[SECOND] == DONE -> SEND(SECOND, COMPLETED)
	:: job[SECOND] == OWN || job[SECOND] == RUN -> remote = true
	:: job[SECOND] == STOPPING -> SEND(SECOND, NOT_TAKEN)
	:: job[SECOND] == NONE && takes && !drains[SECOND] ->
		remote = true;
#ifdef SECOND_HANDOVER
		job[SECOND] = HANDED;
		SEND(SECOND, BACK)
#else
		job[SECOND] = OWN
#endif
	/* it is draining, or has no capacity */
	:: job[SECOND] == NONE && (!takes || drains[SECOND]) -> SEND(SECOND, NOT_TAKEN)
	fi
}

inline read_second(m, old, takes) {
	to[SECOND] ? m, old;
#ifdef NO_DATES
	old = 0;
#endif
	if
	:: !open[SECOND]
	:: open[SECOND] && TOO_LATE(SECOND) ->
		REACHED(CANCELLED_LATE);
		close_stream(SECOND);
		SEND(SECOND, END)
	:: else ->
		age[SECOND] = old;
		if
		:: m == JOB && old >= SILENCE -> REACHED(LATE_JOB); SEND(SECOND, NOT_TAKEN)
		:: m == JOB && old < SILENCE -> take_over(takes)
		:: m == CANCEL -> remote = false; drop_unwanted(SECOND)
		:: m == END -> close_stream(SECOND)
		:: else
		fi
	fi;
	m = 0; old = 0
}

inline read_first(m, old) {
	to[FIRST] ? m, old;
	if
	:: !open[FIRST]
	:: open[FIRST] && TOO_LATE(FIRST) ->
		close_stream(FIRST);
		SEND(FIRST, END)
	:: else ->
		age[FIRST] = 0;
		if
		:: m == END -> close_stream(FIRST)
		:: m == COMPLETED && job[FIRST] == HANDED ->
			REACHED(COMPLETED_THERE);
			job[FIRST] = DONE; answer(FIRST, ANSWER_DONE)
		:: m == REFUSED && job[FIRST] == HANDED -> job[FIRST] = NONE; answer(FIRST, ANSWER_NOT_RUN)
		:: m == EXPIRED && job[FIRST] == HANDED -> job[FIRST] = NONE; answer(FIRST, ANSWER_MAYBE)
		:: m == NOT_TAKEN && job[FIRST] == HANDED && drains[FIRST] -> job[FIRST] = NONE; answer(FIRST, ANSWER_NOT_RUN)
		:: m == NOT_TAKEN && job[FIRST] == HANDED && !drains[FIRST] -> REACHED(TAKEN_BACK); job[FIRST] = OWN
		:: else
		fi
	fi;
	m = 0; old = 0
}

/* A message to the guard, with the order or the stop that is due. */
inline message(e) {
#ifndef NO_CALLER_CHECK
	if
	:: NOTICE_DUE(e) -> notice(e)
	:: else
	fi;
#endif
#ifndef NO_AGE_CHECK
	if
	:: e == SECOND && open[SECOND] && remote && OVERDUE(SECOND) ->
		REACHED(CANCELLED_LATE);
		close_stream(SECOND);
		SEND(SECOND, END)
	:: else
	fi;
#endif
	silent[e] = 0;
	if
	:: job[e] == OWN ->
		HOLDS(ONE_RUN, lease[FIRST] == 0 && lease[SECOND] == 0);
		HOLDS(NOT_RUN, !told_not_run);
		HOLDS(AFTER_DONE, !told_done);
		if
		:: has_run && again -> REACHED(RETURNED)
		:: else
		fi;
		job[e] = RUN; run_state[e] = OPEN; lease[e] = LEASE; has_run = true
	:: job[e] == STOPPING && run_state[e] == OPEN -> run_state[e] = ENDING
	:: else
	fi
}

proctype entry(byte e) {
	mtype m;
	byte old;

end1:	do
	:: d_step { LIVELY(e) && NOTICE_DUE(e) -> notice(e) }
	:: d_step { LIVELY(e) && REQUEST_DUE(e) -> submit(e, false) }
	:: d_step { LIVELY(e) && e == FIRST && REQUEST_DUE(FIRST) && MAY_HAND_OVER -> submit(FIRST, true) }
	:: d_step { LIVELY(e) && e == FIRST && READABLE(FIRST) -> read_first(m, old) }
	:: d_step { LIVELY(e) && e == SECOND && READABLE(SECOND) -> read_second(m, old, true) }
	:: d_step { LIVELY(e) && e == SECOND && READABLE(SECOND) && to[SECOND]?[JOB, _] -> read_second(m, old, false) }
	:: d_step { LIVELY(e) && OVERDUE(e) -> close_stream(e); SEND(e, END) }
	/* a heartbeat on the stream */
	:: d_step { LIVELY(e) && BEATING(e) && !sent[e] ->
#ifndef NO_STREAM_CHECK
		if
		:: NOTICE_DUE(e) -> notice(e)
		:: else
		fi;
#endif
		if
		:: len(to[1 - e]) < 2 -> SEND(e, BEAT)
		:: else -> sent[e] = true
		fi
	}
	/* a message to the guard */
	:: d_step { LIVELY(e) && attached[e] && LINKED(e) && (GUARD_DUE(e) || job[e] == OWN) -> message(e) }
	/* a job is refused before it was ordered */
	:: d_step { LIVELY(e) && job[e] == OWN -> job[e] = NONE; answer(e, ANSWER_NOT_RUN) }
	/* the guard's report on the run arrives */
	:: d_step { LIVELY(e) && REPORT_DUE(e) ->
		if
		:: run_state[e] == FINISHED && job[e] == RUN -> job[e] = DONE; answer(e, ANSWER_DONE)
		:: run_state[e] == NONE && job[e] == RUN -> job[e] = NONE; answer(e, ANSWER_MAYBE)
		:: else -> job[e] = NONE
		fi;
		run_state[e] = NONE
	}
	/* the session at the guard was lost: the outcome is unknown */
	:: d_step { LIVELY(e) && DROPPED(e) -> job[e] = STOPPING; answer(e, ANSWER_MAYBE) }
	/* the entry attaches; the guard ends what its older session has left */
	:: d_step { LIVELY(e) && ATTACH_DUE(e) ->
		attached[e] = true;
		silent[e] = 0;
		if
		:: run_state[e] == OPEN -> run_state[e] = ENDING
		:: run_state[e] == FINISHED -> run_state[e] = NONE
		:: else
		fi
	}
	od
}

/* ---- the guard and its runner ------------------------------------------- */

#define SESSION_OVERDUE(e) (silent[e] >= GUARD_SILENCE)
#ifdef RESPONSIVE
#define STOP_DUE(e) (run_state[e] == ENDING && lease[e] > 0)
#else
#define STOP_DUE(e) false
#endif

proctype guard(byte e) {
end2:	do
	/* the entry was silent for too long: its session and its run end */
	:: d_step { SESSION_OVERDUE(e) ->
		attached[e] = false; silent[e] = 0;
		if
		:: run_state[e] == OPEN -> run_state[e] = ENDING
		:: run_state[e] == FINISHED -> run_state[e] = NONE
		:: else
		fi
	}
	/* the runner executes the stop */
	:: d_step { run_state[e] == ENDING -> lease[e] = 0; run_state[e] = NONE }
	/* the run completes */
	:: d_step { run_state[e] == OPEN -> lease[e] = 0; run_state[e] = FINISHED }
	od
}

/* ---- time and faults ---------------------------------------------------- */

#ifdef LIVE
#define LONGEST 2               /* ticks after which a run completes */
byte ran[2];
#define COMPLETION_DUE(e) (run_state[e] == OPEN && ran[e] >= LONGEST)
#define RETURN_DUE (caller == AWAY && clock == RESEND && (up[FIRST] || up[SECOND]))
#else
#define COMPLETION_DUE(e) false
#define RETURN_DUE false
#endif

active proctype time() {
	mtype m;
	byte e, old;

end3:	do
	:: d_step { !BUSY(FIRST) && !BUSY(SECOND) && !SESSION_OVERDUE(FIRST) && !SESSION_OVERDUE(SECOND) && !STOP_DUE(FIRST) && !STOP_DUE(SECOND) &&
		!COMPLETION_DUE(FIRST) && !COMPLETION_DUE(SECOND) && !RETURN_DUE ->
		for (e : FIRST .. SECOND) {
			if
			:: open[e] && BEATING(e) && age[e] < SILENCE -> age[e]++
			:: else
			fi;
			sent[e] = false;
#ifdef LIVE
			ran[e] = (run_state[e] == OPEN -> ran[e] + 1 : 0);
#endif
			if
			:: attached[e] || run_state[e] == OPEN -> silent[e]++
			:: else
			fi;
			if
			:: run_state[e] == ENDING ->
				lease[e]--;
				if
				:: lease[e] == 0 ->
					run_state[e] = NONE;
					if
					:: e == SECOND -> REACHED(LEASE_ENDED)
					:: else
					fi
				:: else
				fi
			:: else
			fi
		};
		e = len(to[SECOND]);
		do
		:: e > 0 ->
			to[SECOND] ? m, old;
			to[SECOND] ! m, (old < SILENCE -> old + 1 : old);
			e--
		:: else -> break
		od;
		m = 0; old = 0;
		if
		:: caller == AWAY && clock < RESEND -> clock++
		:: else
		fi;
		e = 0
	}
	od
}

inline leave() {
	gone[caller_at] = up[caller_at];
	break_connection()
}

inline die(e, ends) {
	up[e] = false; asleep[e] = false;
	job[e] = NONE; waits[e] = false; request[e] = false; gone[e] = false; attached[e] = false;
	if
	:: e == SECOND -> remote = false
	:: else
	fi;
	if
	:: caller == WAITING && caller_at == e -> break_connection()
	:: else
	fi;
	do
	:: len(to[e]) > 0 -> to[e] ? _, _
	:: else -> break
	od;
	if
	:: open[e] && ends -> SEND(e, END)
	:: else
	fi;
	open[e] = false;
	sent[e] = false; age[e] = 0
}

#define MAY_FAIL (faults < FAULTS)

active proctype fault() {
	byte e;

end4:	do
	:: d_step { caller == WAITING && leaves < LEAVES -> leaves++; leave() }
	/* the connection breaks, and the first entry doesn't notice */
	:: d_step { caller == WAITING && caller_at == FIRST && half_open < HALF_OPEN && remote -> half_open++; break_connection() }
	/* the caller returns, to an entry that accepts connections */
	:: d_step { caller == AWAY && clock == RESEND && up[FIRST] -> caller_at = FIRST; caller = WAITING; request[FIRST] = true; clock = 0 }
	:: d_step { caller == AWAY && clock == RESEND && up[SECOND] -> caller_at = SECOND; caller = WAITING; request[SECOND] = true; clock = 0 }
	:: d_step { drained < DRAINS && !drains[FIRST] -> drained++; drains[FIRST] = true }
	:: d_step { drained < DRAINS && !drains[SECOND] -> drained++; drains[SECOND] = true }
	/* the process of an entry dies, and its connections end; or its host loses power */
	:: d_step { MAY_FAIL && (DEATHS & 1) && up[FIRST] -> faults++; die(FIRST, true) }
	:: d_step { MAY_FAIL && (DEATHS & 1) && up[FIRST] && open[FIRST] -> faults++; die(FIRST, false) }
	:: d_step { MAY_FAIL && (DEATHS & 2) && up[SECOND] -> faults++; die(SECOND, true) }
	:: d_step { MAY_FAIL && (DEATHS & 2) && up[SECOND] && open[SECOND] -> faults++; die(SECOND, false) }
	:: d_step { !up[FIRST] -> up[FIRST] = true }
	:: d_step { !up[SECOND] -> up[SECOND] = true }
	:: d_step { MAY_FAIL && LIVELY(FIRST) && (SUSPENDS & 1) -> faults++; asleep[FIRST] = true }
	:: d_step { MAY_FAIL && LIVELY(SECOND) && (SUSPENDS & 2) -> faults++; asleep[SECOND] = true }
	:: d_step { asleep[FIRST] -> asleep[FIRST] = false }
	:: d_step { asleep[SECOND] -> asleep[SECOND] = false }
	:: d_step { MAY_FAIL && !cut && CUTS -> faults++; cut = true }
	:: d_step { cut -> cut = false }
	:: d_step { MAY_FAIL && !guard_cut && GUARD_CUTS -> faults++; guard_cut = true }
	:: d_step { guard_cut -> guard_cut = false }
	od
}

#ifdef LIVE
#define HEALTHY (up[FIRST] && up[SECOND] && !asleep[FIRST] && !asleep[SECOND] && !cut && !guard_cut)
ltl answered { ([]<> HEALTHY) -> (<> (caller == ANSWERED)) }
#endif

init {
	atomic {
		up[FIRST] = true; up[SECOND] = true;
		open[FIRST] = true; open[SECOND] = true;
		attached[FIRST] = true; attached[SECOND] = true;
		caller = WAITING; request[FIRST] = true;
		run entry(FIRST); run entry(SECOND);
		run guard(FIRST); run guard(SECOND)
	}
}
