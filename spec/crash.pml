/*
 * Model of a poison task, which crashes every runner that starts it, and a healthy
 * task of the same entry, on three endpoints. Runners restart, a guard may fail
 * together with its runner, the entry may crash and both jobs be submitted again. It
 * checks how many runners the poison task crashes, and that the healthy task's job
 * isn't failed. README.md in this directory lists what is not modelled.
 *
 * Build with -DNO_COUNT or a similar macro to remove one safeguard.
 */

#ifndef DEATHS
#define DEATHS 1                /* crashes of the entry */
#endif
#ifndef LOSSES
#define LOSSES 1                /* failures of guards, each together with its runner */
#endif

/* ---- properties --------------------------------------------------------- */

#define FEW_RUNNERS 1           /* at most three crashed runners per submission of the job, and one more per failed guard */
#define SOUND_SERVED 2          /* the healthy task's job isn't failed */
#ifndef ONLY
#define ONLY 0
#endif
#define HOLDS(property, condition) assert((ONLY != 0 && ONLY != property) || (condition))

/* ---- situations that must be reachable ---------------------------------- */

#define GIVEN_UP_AT_TWO 1       /* a task was failed after its second crash */
#define GIVEN_UP_AT_THREE 2     /* a task was failed after its third crash */
#define CRASH_NOT_TOLD 3        /* a crash was not reported: the guard failed together with its runner */
#define BOTH_SUSPECT 4          /* both tasks have crashes and run on different endpoints */
#ifndef SEE
#define SEE 0
#endif
#define REACHED(situation) assert(SEE != situation)

#define POISON 0
#define SOUND 1
#define NOWHERE 3               /* endpoints are 0 to 2 */

/* the entry */
byte at[2] = NOWHERE;           /* the endpoint that a task runs on */
bool over[2];                   /* the task is done or failed */
byte crashes[2];                /* number of crashes counted against a task */
byte newest[2];                 /* of these, the ones where it was the last task to start on the endpoint */
byte handed = 1;                /* times that the jobs were submitted */

/* the endpoints */
bool up[3] = true;
byte last[3];                   /* the task that started last on the endpoint */

byte taken;                     /* number of runners that the poison task has crashed */
byte lost;                      /* number of guards that have failed */
byte deaths;

#define SUSPECT(t) (crashes[t] > 0)
#ifdef TOGETHER
#define APART(t, e) true
#else
#define APART(t, e) (!SUSPECT(t) || !SUSPECT(1 - t) || at[1 - t] != e)
#endif

inline begin(t, e) {
	at[t] = e;
	last[e] = t;
	if
	:: SUSPECT(0) && SUSPECT(1) && at[1 - t] != NOWHERE && at[1 - t] != e -> REACHED(BOTH_SUSPECT)
	:: else
	fi
}

/* blame counts the crash of endpoint e against task t; others: another task ran there. */
inline blame(t, e, others) {
	skip;
#ifndef NO_COUNT
	crashes[t]++;
	newest[t] = newest[t] + (last[e] == t -> 1 : 0);
	if
	:: crashes[t] >= 3 -> over[t] = true; REACHED(GIVEN_UP_AT_THREE)
	:: crashes[t] == 2 && (!others || newest[t] == 2) -> over[t] = true; REACHED(GIVEN_UP_AT_TWO)
	:: else
	fi;
	HOLDS(SOUND_SERVED, !over[SOUND] || t != SOUND)
#endif
}

/* fall is the crash of endpoint e by the poison task; told: its guard reports the crash. */
inline fall(e, told) {
	up[e] = false;
	taken++;
	HOLDS(FEW_RUNNERS, taken <= 3 * handed + lost);
	others = (at[SOUND] == e);
	at[POISON] = NOWHERE;
	if
	:: told -> blame(POISON, e, others)
	:: else -> REACHED(CRASH_NOT_TOLD)
	fi;
	if
	:: others -> at[SOUND] = NOWHERE;
		if
		:: told -> blame(SOUND, e, true)
		:: else
		fi
	:: else
	fi
}

active proctype deployment() {
	byte e;
	bool others;
	do
	:: if
		:: e = 0
		:: e = 1
		:: e = 2
		fi;
		if
		:: atomic { at[POISON] == NOWHERE && !over[POISON] && up[e] && APART(POISON, e) -> begin(POISON, e) }
		:: atomic { at[SOUND] == NOWHERE && !over[SOUND] && up[e] && APART(SOUND, e) -> begin(SOUND, e) }
		:: atomic { at[SOUND] == e -> at[SOUND] = NOWHERE; over[SOUND] = true }
		:: atomic { at[POISON] == e -> fall(e, true) }
		:: atomic { at[POISON] == e && lost < LOSSES -> lost++; fall(e, false) }
		:: atomic { !up[e] -> up[e] = true }
		:: atomic { deaths < DEATHS ->
			/* the runs of a crashed entry have ended before its callers submit again */
			deaths++;
			handed++;
			at[0] = NOWHERE; at[1] = NOWHERE;
			over[0] = false; over[1] = false;
			crashes[0] = 0; crashes[1] = 0;
			newest[0] = 0; newest[1] = 0 }
		:: else
		fi
	od
}
