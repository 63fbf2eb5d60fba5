/*
 * Model of the limits of one client account, which the entries share: each entry has
 * a base share and grants other entries quota leases (in this model: loans) on what
 * it does not need. The lender is the entry that grants a lease, the borrower the one
 * that holds it. Responses to a call that requests a lease arrive late, out of order,
 * twice or never, and clocks drift by a bounded amount. Each call also releases what
 * the borrower no longer needs of its earlier leases. The model checks that the sum
 * of what all entries may use, and the sum of their tasks in flight, never exceed the
 * contract.
 *
 * Build with -DCOUNT_FROM_REPLY or a similar macro to remove one safeguard.
 */

/* ---- bounds ------------------------------------------------------------- */

#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef LOANS
#define LOANS 3                 /* calls that request a quota lease */
#endif
#ifndef BASE
#define BASE 2                  /* the base share of each entry */
#endif
#ifndef SPAN
#define SPAN 1                  /* TTL of a quota lease in ticks, in addition to HOLD */
#endif
#ifndef LAGS
#define LAGS 1                  /* ticks that clocks fall behind others, in total */
#endif
#define HOLD 1                  /* ticks that a task may be in flight */
#define WHOLE (ENTRIES * BASE)  /* the contract's limit */

/* ---- situations that must be reachable ---------------------------------- */

#define LATE_REPLY              1 /* a response arrived after its lease had expired */
#define CROSSED_REPLY           2 /* a response arrived after that of a later call */
#define TWO_LOANS_OUT           3 /* a lender counts two leases to one borrower */
#define ALL_IN_FLIGHT           4 /* the contract is fully used, in part by a lease */
#define REGAINED                5 /* a lender regained its quota after a lost response */
#define GIVEN_BACK              6 /* a lender regained quota before the lease expired */
#define NOT_BOUNDED             7 /* a borrower uses more than its newest leases allow */
#ifndef SEE
#define SEE 0
#endif
#define REACHED(situation) assert(SEE != situation)

/* ---- properties --------------------------------------------------------- */

#define RIGHTS                  1 /* the sum of what entries may use is within the contract */
#define IN_FLIGHT               2 /* the number of tasks in flight is within the contract */
#ifndef ONLY
#define ONLY 0
#endif
#define HOLDS(property, fact) assert((ONLY != 0 && ONLY != property) || (fact))

/* ---- state -------------------------------------------------------------- */

mtype:reply = { NONE, ASKED, SENT };

/* One call that requests a quota lease, and the lease; calls are numbered in the
 * order in which they are sent. */
typedef Loan {
	byte lender;
	byte borrower;
	byte amount;            /* the amount that the lender counts as granted */
	byte sent;              /* the amount in the response */
	byte held;              /* the amount that the borrower may use */
	byte kept;              /* upper bound, sent in the call, of what the borrower holds of earlier leases */
	mtype:reply reply = NONE;
	byte lender_left;       /* ticks until the lender regains it */
	byte borrower_left;     /* ticks until it expires at the borrower */
	bool taken;             /* the borrower applied the response: for SEE only */
}

typedef Entry {
	byte fresh;             /* tasks admitted in this tick */
	byte ageing;            /* tasks admitted in the previous tick: they end in this one */
	byte newest[ENTRIES];   /* the lease in force from each lender, from 1; 0: none */
	byte last[ENTRIES];     /* the last call to each lender, from 1; 0: none */
}

Loan loan[LOANS];
Entry entry[ENTRIES];
byte asked;
byte lags;

byte i;                         /* scratch variables: reset to 0 after each step */
byte j;
byte k;
byte most;
byte own;
short sum;
short all;

#define USED(e) (entry[e].fresh + entry[e].ageing)

/* Safeguard (COUNT_NEWEST_LENT): the lender counts the largest lease. Any of the
 * responses to one borrower may have been the last to arrive. If the lender counted
 * only the newest lease, the borrower could still use an older and larger one,
 * because the response with the newer one was lost. */
#ifdef COUNT_NEWEST_LENT
#define COUNTS(n, most) true
#else
#define COUNTS(n, most) (loan[n].amount > most)
#endif

/* Safeguard (ADD_LOANS): one lease per lender. The newest lease replaces the previous
 * one, as the lender assumes. If the borrower added them up, it would use more than
 * the lender granted. */
#ifdef ADD_LOANS
#define IN_FORCE(e, n) (loan[n].taken)
#else
#define IN_FORCE(e, n) (entry[e].newest[loan[n].lender] == n + 1)
#endif

/* Computes in sum what an entry may use, that many ticks ahead of now: its base share,
 * plus the leases it holds, minus the leases it has granted. */
inline rights_of(e, ahead) {
	sum = BASE;
	for (i : 0 .. LOANS - 1) {
		if
		:: loan[i].reply == SENT && loan[i].borrower == e && IN_FORCE(e, i) &&
		   loan[i].borrower_left > ahead ->
			sum = sum + loan[i].held
		:: else
		fi
	}
	for (j : 0 .. ENTRIES - 1) {
		most = 0;
		for (i : 0 .. LOANS - 1) {
			if
			:: loan[i].reply == SENT && loan[i].lender == e && loan[i].borrower == j &&
			   loan[i].lender_left > ahead && COUNTS(i, most) ->
				most = loan[i].amount
			:: else
			fi
		}
		sum = sum - most
	}
}

/* ---- the properties, checked after each step that could violate them ---- */

inline judge() {
	all = 0;
	for (k : 0 .. ENTRIES - 1) {
		rights_of(k, 0);
		all = all + (sum > 0 -> sum : 0)
	}
	HOLDS(RIGHTS, all <= WHOLE);
	all = 0;
	for (k : 0 .. ENTRIES - 1) {
		all = all + USED(k);
		if
		:: USED(k) > BASE -> most = 100
		:: else
		fi
	}
	HOLDS(IN_FLIGHT, all <= WHOLE);
	if
	:: all == WHOLE && most >= 100 -> REACHED(ALL_IN_FLIGHT)
	:: else
	fi
}

/* ---- the borrower ------------------------------------------------------- */

/* Safeguard (COUNT_FROM_REPLY): the borrower measures the TTL from before it sends
 * the request. The lender measures it from the grant, which is later, so the lease
 * expires at the borrower first, however long the response is in transit. If the
 * borrower measured from the response, the lender would regain its quota while the
 * borrower still uses it. */
inline ask(a, b, part) {
	printf("entry %d asks entry %d for loan %d and gives back up to %d\n", b, a, asked, part);
	give_back(a, b, part);
	loan[asked].lender = a;
	loan[asked].borrower = b;
	loan[asked].reply = ASKED;
	loan[asked].borrower_left = SPAN + HOLD;
	asked++;
	entry[b].last[a] = asked
}

/* Safeguard (GIVE_USED): the borrower does not release quota in use. It keeps that
 * until the lease expires, and so does the lender in its count. */
#ifdef GIVE_USED
#define GIVABLE(b) (all + USED(b))
#else
#define GIVABLE(b) all
#endif

/* Safeguard (BOUND_BY_NEWEST): the borrower reports no bound while it uses more than
 * the leases in force allow. Its usage then relies on a previous, larger lease that
 * was replaced and that the lender still counts. If the lender bounded its count by
 * the newest lease, it could grant the same quota a second time. */
#ifdef BOUND_BY_NEWEST
#define BOUNDED true
#else
#define BOUNDED (all >= 0)
#endif

/* Before the call is sent, borrower b reduces its lease from lender a by up to part,
 * and the call reports the rest as kept. all: the quota that is not in use and does
 * not expire before this lease does. */
inline give_back(a, b, part) {
	own = entry[b].newest[a];
	if
	:: own > 0 && loan[own - 1].borrower_left == 0 -> own = 0
	:: else
	fi;
	all = WHOLE;
	for (k : 0 .. SPAN + HOLD) {
		if
		:: own == 0 || loan[own - 1].borrower_left > k ->
			rights_of(b, k);
			all = (sum < all -> sum : all)
		:: else
		fi
	}
	all = all - USED(b);
	sum = (GIVABLE(b) < part -> GIVABLE(b) : part);
	if
	:: own > 0 && sum > 0 ->
		sum = (sum < loan[own - 1].held -> sum : loan[own - 1].held);
		loan[own - 1].held = loan[own - 1].held - sum
	:: else
	fi;
	if
	:: !BOUNDED -> loan[asked].kept = WHOLE; REACHED(NOT_BOUNDED)
	:: BOUNDED && own > 0 -> loan[asked].kept = loan[own - 1].held
	:: else -> loan[asked].kept = 0
	fi
}

/* Safeguard (TAKE_EARLIER): once the borrower has sent a later call to the same
 * lender, it ignores responses to earlier calls. The lender counts those leases as
 * released. */
#ifdef TAKE_EARLIER
#define AWAITED(n) true
#else
#define AWAITED(n) (entry[loan[n].borrower].last[loan[n].lender] == n + 1)
#endif

inline take(n) {
	printf("entry %d takes loan %d\n", loan[n].borrower, n);
#ifdef COUNT_FROM_REPLY
	loan[n].borrower_left = SPAN + HOLD;
#endif
	if
	:: loan[n].borrower_left == 0 -> REACHED(LATE_REPLY)
	:: else ->
		if
		:: entry[loan[n].borrower].newest[loan[n].lender] > n + 1 -> REACHED(CROSSED_REPLY)
		:: entry[loan[n].borrower].newest[loan[n].lender] <= n + 1 && AWAITED(n) ->
			entry[loan[n].borrower].newest[loan[n].lender] = n + 1;
			loan[n].held = loan[n].sent;
			loan[n].taken = true
		:: else
		fi
	fi
}

/* ---- the lender --------------------------------------------------------- */

/* Safeguard (NO_MARGIN): clock drift margin. The lender waits longer than the TTL of
 * the lease, by as much as the clocks can drift apart in that time. */
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN LAGS
#endif

/* The lender subtracts the lease from its share before it responds. It grants no more
 * than it can spare for the whole TTL. Its current leases to the same borrower don't
 * count in this, since the new lease replaces them.
 *
 * Safeguard (LEND_ON): a lender grants no leases from leased quota. The lease that it
 * holds expires before the one that it would grant from it, and the first lender
 * would regain its quota while the last borrower still uses it.
 *
 * Safeguard (LEND_USED): a lender grants no quota in use, since tasks in flight
 * can't be preempted. */
inline lend(n, part) {
	sum = BASE;
	for (j : 0 .. ENTRIES - 1) {
		most = 0;
		for (i : 0 .. LOANS - 1) {
			if
			:: j != loan[n].borrower && loan[i].reply == SENT && loan[i].lender == loan[n].lender &&
			   loan[i].borrower == j && loan[i].lender_left > 0 && COUNTS(i, most) ->
				most = loan[i].amount
			:: else
			fi
		}
		sum = sum - most
	}
#ifdef LEND_ON
	for (i : 0 .. LOANS - 1) {
		if
		:: loan[i].reply == SENT && loan[i].borrower == loan[n].lender &&
		   IN_FORCE(loan[n].lender, i) && loan[i].borrower_left > 0 ->
			sum = sum + loan[i].amount
		:: else
		fi
	}
#endif
#ifndef LEND_USED
	sum = sum - USED(loan[n].lender);
#endif
	if
	:: sum >= part ->
		loan[n].amount = part;
		loan[n].sent = part;
		loan[n].lender_left = SPAN + HOLD + MARGIN;
		loan[n].reply = SENT;
		printf("entry %d lends %d to entry %d by loan %d\n", loan[n].lender, part, loan[n].borrower, n);
		for (i : 0 .. LOANS - 1) {
			if
			:: i != n && loan[i].reply == SENT && loan[i].lender == loan[n].lender &&
			   loan[i].borrower == loan[n].borrower && loan[i].lender_left > 0 ->
				REACHED(TWO_LOANS_OUT)
			:: else
			fi
		}
	:: else
	fi
}

/* A call arrives, or a duplicate of it: the lender reduces its count of the leases of
 * earlier calls to what the borrower still holds.
 *
 * Safeguard (BOUND_ALL): it does so for earlier calls only. The lease of a later call
 * may be in use. */
#ifdef BOUND_ALL
#define EARLIER(i, n) (i != n)
#else
#define EARLIER(i, n) (i < n)
#endif
inline bound(n) {
	printf("entry %d takes back all but %d by call %d\n", loan[n].lender, loan[n].kept, n);
	for (i : 0 .. LOANS - 1) {
		if
		:: EARLIER(i, n) && loan[i].reply == SENT && loan[i].lender == loan[n].lender &&
		   loan[i].borrower == loan[n].borrower && loan[i].amount > loan[n].kept ->
			loan[i].amount = loan[n].kept;
			if
			:: loan[i].lender_left > 0 -> REACHED(GIVEN_BACK)
			:: else
			fi
		:: else
		fi
	}
}

/* ---- admission ---------------------------------------------------------- */

/* Safeguard (ADMIT_FOR_NOW): admission considers the whole run. An entry admits a
 * task when its quota suffices until the task must have ended. If it considered only
 * the current quota, the task could still be in flight after the lease that it needs
 * has expired. */
inline admit(e) {
	rights_of(e, 0);
	all = sum;
#ifndef ADMIT_FOR_NOW
	rights_of(e, HOLD);
	all = (sum < all -> sum : all);
#endif
	if
	:: all > USED(e) ->
		printf("entry %d admits a task\n", e);
		entry[e].fresh++
	:: else
	fi
}

/* ---- time --------------------------------------------------------------- */

/* One entry's clock advances by a tick: the remaining TTL of its leases decreases, and
 * the tasks that were admitted in the previous tick end. */
inline pass_time(e) {
	for (i : 0 .. LOANS - 1) {
		if
		:: loan[i].reply == SENT && loan[i].lender == e && loan[i].lender_left > 0 ->
			loan[i].lender_left--;
			if
			:: loan[i].lender_left == 0 && !loan[i].taken -> REACHED(REGAINED)
			:: else
			fi
		:: else
		fi;
		if
		:: loan[i].reply != NONE && loan[i].borrower == e && loan[i].borrower_left > 0 ->
			loan[i].borrower_left--
		:: else
		fi
	}
	entry[e].ageing = entry[e].fresh;
	entry[e].fresh = 0
}

/* A tick of every clock except that of the entry that lags behind. */
inline tick(lagging) {
	printf("a tick passes, entry %d lags (%d: none)\n", lagging, ENTRIES);
	for (k : 0 .. ENTRIES - 1) {
		if
		:: k != lagging -> pass_time(k)
		:: else -> lags++
		fi
	}
}

/* ---- processes ---------------------------------------------------------- */

/* One atomic step, executable when enabled is true. */
#define STEP(enabled, action) \
	d_step { enabled -> action; judge(); i = 0; j = 0; k = 0; most = 0; own = 0; sum = 0; all = 0 }

proctype Borrowing(byte a; byte b) {
end:	do
	:: STEP(asked < LOANS, ask(a, b, 0))
	:: STEP(asked < LOANS && entry[b].newest[a] > 0, ask(a, b, WHOLE))
	od
}

proctype Loaning(byte n) {
end:	do
	:: STEP(loan[n].reply == ASKED, lend(n, 1))
	:: STEP(loan[n].reply == ASKED, lend(n, BASE))
#ifdef LEND_ON
	:: STEP(loan[n].reply == ASKED, lend(n, 2 * BASE))
#endif
	:: STEP(loan[n].reply != NONE, bound(n))
	:: STEP(loan[n].reply == SENT, take(n))
#ifdef REGAIN_EARLY
	/* The lender assumes that the response is lost and regains its quota immediately. */
	:: STEP(loan[n].reply == SENT && !loan[n].taken, loan[n].lender_left = 0)
#endif
	od
}

proctype Serving(byte e) {
end:	do
	:: STEP(USED(e) < WHOLE, admit(e))
	:: STEP(entry[e].fresh > 0, entry[e].fresh--)
	:: STEP(entry[e].ageing > 0, entry[e].ageing--)
	:: STEP(lags < LAGS, tick(e))
	od
}

init {
	atomic {
		for (i : 0 .. ENTRIES - 1) {
			run Serving(i);
			for (j : 0 .. ENTRIES - 1) {
				if
				:: i != j -> run Borrowing(i, j)
				:: else
				fi
			}
		}
		for (i : 0 .. LOANS - 1) {
			run Loaning(i)
		}
		i = 0;
		j = 0
	}
end:	do
	:: STEP(true, tick(ENTRIES))
	od
}
