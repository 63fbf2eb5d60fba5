/*
 * A task that crashes every runner that starts it, beside a sound one of the same
 * entry, on three endpoints. Runners come back, a guard may be lost in the moment
 * of its runner's crash, the entry may die and both jobs be handed in again. It
 * checks how many runners the task takes, and that the sound job isn't failed.
 * README.md in this directory says what is left out.
 *
 * Build with -DNO_COUNT and the like to leave one safeguard out.
 */

#ifndef DEATHS
#define DEATHS 1                /* of the entry */
#endif
#ifndef LOSSES
#define LOSSES 1                /* of guards, each with its runner */
#endif

/* ---- properties --------------------------------------------------------- */

#define FEW_RUNNERS 1           /* three runners for each time the job is handed in, one more for each guard lost */
#define SOUND_SERVED 2          /* the sound job isn't failed */
#ifndef ONLY
#define ONLY 0
#endif
#define HOLDS(property, condition) assert((ONLY != 0 && ONLY != property) || (condition))

/* ---- situations that must be reachable ---------------------------------- */

#define GIVEN_UP_AT_TWO 1       /* after the second crash */
#define GIVEN_UP_AT_THREE 2     /* after the third */
#define CRASH_NOT_TOLD 3        /* the guard was lost with its runner */
#define BOTH_SUSPECT 4          /* both tasks have a crash and run apart */
#ifndef SEE
#define SEE 0
#endif
#define REACHED(situation) assert(SEE != situation)

#define POISON 0
#define SOUND 1
#define NOWHERE 3               /* endpoints are 0 to 2 */

/* the entry */
byte at[2] = NOWHERE;           /* where a task runs */
bool over[2];                   /* done, or given up */
byte crashes[2];                /* counted against a task */
byte newest[2];                 /* of them, those at which it had begun last */
byte handed = 1;                /* times that the jobs were handed in */

/* the endpoints */
bool up[3] = true;
byte last[3];                   /* the task that began last there */

byte taken;                     /* runners that the poisonous task has crashed */
byte lost;                      /* guards lost */
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

/* blame counts the crash of endpoint e against a task. */
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

/* fall is the crash of endpoint e by the poisonous task, told by its guard or not. */
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
			/* the runs of a dead entry are over before its callers come again */
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
