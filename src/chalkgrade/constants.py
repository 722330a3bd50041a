"""Every tuning value of the program, each with its unit and its reason.

Values that an operator may override (see `settings.OperatorSettings`) start
from the ones given here.
"""

from typing import Final

# --- shares -----------------------------------------------------------------
MIN_FAIRNESS_TEAMS: Final = 3  # teams; floor of N in the safety check, the design's trial value
MAX_ROUND_INTERVAL_S: Final = (
    1.0  # s; longest time between two scheduling rounds, the design's trial value
)
MIN_ROUND_INTERVAL_S: Final = (
    0.15  # s; shortest gap between rounds, so bursts of reports share one round
)
DRF_STEP: Final = 0.005  # of the cluster, that the least served gets at once in step 6
STARVATION_WAIT_S: Final = (
    30.0  # s; a queue whose oldest job waits longer gets half of its fair share
)
STARVATION_ALLOCATION_RATIO: Final = (
    0.5  # of that half: who holds more is served, if slowly, and left alone
)
STARVATION_CAPACITY_RATIO: Final = 0.5  # of the capacity, that such queues get before others
LARGEST_JOBS_RATIO: Final = 0.1  # of a class's unfinished jobs count as its largest
LARGEST_WAIT_S: Final = 60.0  # s; those of them that wait longer get a part of their queue's room
LARGEST_BOUND_WAIT_S: Final = 150.0  # s; the same for those that can still meet a bound
LARGEST_SHARE: Final = 0.3  # of the room of their queue, for the longest-waiting until it is done
LARGEST_LIMIT: Final = 0.5  # of it, so that all tasks of that job run at once: no second wave
STARVATION_RESERVE_RATIO: Final = (
    0.05  # of the machines, kept for tasks of theirs that need much of one
)
DRAIN_RESELECTION_S: Final = (
    10.0  # s; a machine that empties for a queue stays chosen if so little later
)
EVEN_SHARE_RATIO: Final = 0.25  # of the capacity, evenly to all teams beside their guarantees
ROUND_PAUSE_RATIO: Final = 4.0  # times what a round took: at least so long is left for other work
RUN_TIME_CORRECTION_WEIGHT: Final = (
    0.3  # weight of a new observation in the run-time correction of a class
)
MIN_RUN_TIME_CORRECTION_RATIO: Final = (
    0.3  # lower bound of that correction: estimates are off by half, not by 10x
)
MAX_RUN_TIME_CORRECTION_RATIO: Final = 3.0  # upper bound of the same
MAX_QUEUE_RECORD_VALUES: Final = (
    6  # values at most that queues' records are kept in; each is read at a start
)
BURST_GAP_S: Final = 5.0  # s; jobs that come closer than this count as one burst of their queue

# --- leadership -------------------------------------------------------------
# A crashed leader blocks the cluster for the length of its lease, which follows what was
# measured: the state service's slow answers and how late controllers' loops run.
MAX_LEADER_LEASE_S: Final = (
    3.0  # s; the longest, and what is taken once a lease ended under its holder
)
MIN_LEADER_LEASE_S: Final = 1.8  # s; the shortest; 1.4 s of it are left after the margin
LEASE_RESPONSE_TIME_RATIO: Final = (
    3.0  # times a slow answer of the state service, that are added to it
)
LEASE_LOOP_DELAY_RATIO: Final = 2.0  # times the worst lateness of a loop, that are added to it
LONG_LEASE_PERIOD_S: Final = (
    300.0  # s; after a lease that ended under its holder it is long for so long
)
LEASE_RENEWAL_INTERVAL_RATIO: Final = (
    0.23  # of a lease, between two renewals: four tries within one
)
MAX_CONCURRENT_RENEWALS: Final = (
    3  # renewals under way at once: one late answer must not hold up the next
)
HANDOVER_COMMIT_TIMEOUT_S: Final = (
    0.5  # s; a commit that moves the lead; longer, and the lease is ended
)
CAMPAIGN_STAGGER_S: Final = 0.08  # s; between two controllers' campaigns, in order of readiness
MAX_CAMPAIGN_RANK: Final = 8  # steps; with 50 controllers the last need not wait for seconds
CLOCK_DRIFT_RATIO: Final = 0.001  # ratio; twice the bound on steady clocks (0.05 %)
LEADER_LEASE_MARGIN_S: Final = 0.4  # s; stop acting this much before the lease can end
LEADER_WATCH_BLOCK_S: Final = 5.0  # s; how long a follower's watch on the leader key blocks
CAMPAIGN_RETRY_INTERVAL_S: Final = 0.25  # s; between failed campaigns, jittered
CANCELLATION_GRACE_MARGIN_S: Final = (
    5.0  # s; kept free of cancel_s when keeping worker leases in an outage
)
CANCELLATION_POLL_INTERVAL_S: Final = 2.0  # s; between two questions to all others in an outage
CANCELLATION_POLL_SLACK_S: Final = (
    3.0  # s; a question's way, at most PEER_REQUEST_TIMEOUT_S, and the clocks' drift
)
MAX_REMEMBERED_CANCELLATIONS: Final = (
    20_000  # cancellations that a process remembers having told: 2 MB
)

# --- membership ---------------------------------------------------------------
PROBE_ROUND_INTERVAL_S: Final = (
    0.5  # s; between two rounds of questions: two must be lost before a suspicion
)
PINGED_FOLLOWERS_PER_ROUND: Final = (
    1  # controllers besides the leader that are asked in one: the cost is bounded
)
SUSPICION_TIMEOUT_S: Final = (
    1.2  # s; without any sign of life before a suspicion, two questions and the way
)
HINTS_INTERVAL_S: Final = 4.0  # s; between two tellings of what the record does not have
MAX_HINTS_AGE_S: Final = 30.0  # s; older ones are of no use
MAX_HINTS_PER_KIND: Final = 1000  # entries of each kind that can be many
HINTS_PEER_COUNT: Final = (
    0  # controllers told; 0: off, since with 2 a day on the bench fell by 0.06
)
MAX_ANNOUNCED_PEERS: Final = (
    16  # controllers told at once of a new lead; the others hear in their turn
)
INDIRECT_PROBE_DELAY_S: Final = 0.1  # s; unanswered for so long, others are asked on our behalf
INDIRECT_PROBE_HELPER_COUNT: Final = 2  # of them: one may be cut off as we are
HEALTH_CHECK_INTERVAL_S: Final = 1.0  # s; between a leader's looks at itself
UNHEALTHY_LEADER_TIMEOUT_S: Final = (
    6.0  # s; without the cloud, or without a worker's own report, before it acts
)
MIN_HANDOVER_PAUSE_S: Final = 60.0  # s; no second planned handover by the same controller within
MAX_HANDOVER_PAUSE_S: Final = 900.0  # s; that pause doubles up to this
MAX_HANDOVER_CANDIDATES: Final = 2  # controllers asked whether they would be better
HANDOVER_REQUEST_TIMEOUT_S: Final = 2.0  # s; for their proof and their lease
PING_RESPONSE_TIMEOUT_S: Final = 0.6  # s; an answer takes milliseconds, or a late loop's time
INDIRECT_PROBE_TIMEOUT_S: Final = 0.5  # s; they try for so long, below what we wait for them
LOOP_DELAY_THRESHOLD_S: Final = (
    0.4  # s; a loop that runs later than this proves nothing of others' silence
)
LOOP_DELAY_RETENTION_S: Final = 30.0  # s; lateness is remembered for so long
MAX_PREVIOUS_PROCESSES: Final = (
    4  # earlier processes of a controller; a word is held for a second at most
)
MAX_STATUS_AGE_S: Final = (
    1.0  # s; a word older than this by its sender's time of day is no sign of life
)
DROPPED_MESSAGES_LOG_INTERVAL_S: Final = 60.0  # s; between two lines about dropped messages
MAX_FENCING_TOKEN: Final = (
    1 << 63
)  # tokens are integers below 2^64; what is believed before any read
PROTOCOL_VERSION: Final = 1  # of words and records; rises when others must know which one we are
MIN_CAMPAIGN_UPTIME_S: Final = (
    10.0  # s; who started later lets others lead: it may be in a loop of crashes
)
REVISION_LOOKAHEAD_S: Final = 60.0  # s of changes, by which another may know more than we do
MAX_NO_LEADER_S: Final = 4.0  # s; after that the leader is only out of our reach: none is kept
NO_LEADER_REPORT_HOLD_S: Final = 2.4  # s; a report waits for a leader; workers give up at 4 s
MEMBER_LEASE_S: Final = 12.0  # s; a controller's own lease; back within some 6 s, it keeps its key
MEMBER_LEASE_RENEWAL_INTERVAL_S: Final = (
    2.0  # s; below MAX_STATE_ANSWER_AGE_S: who is quiet still knows what it reaches
)

# --- pipelines ---------------------------------------------------------------
MAX_JOB_END_READS: Final = (
    8  # ends read at once: a takeover must not spend a second's requests on them
)
MAX_LOGGED_JOBS: Final = 5  # of the jobs that one waits for, in a log line
MAX_DEPENDENCY_LOOKUP_PAUSE_S: Final = (
    4.0  # s; longest pause between two looks for a job on no record yet
)
UPCOMING_WORK_HORIZON_S: Final = 60.0  # s; what may run within so long is thought of in machines
LAST_TASK_RUN_TIME_RATIO: Final = (
    1.3  # times the usual run time: how long the last of a job's tasks takes
)
STAGE_START_DELAY_S: Final = (
    1.5  # s; from a durable end to the next stage's launches: commit, round, report
)

# --- ledger -----------------------------------------------------------------
STATE_REQUEST_TIMEOUT_S: Final = 2.0  # s; replies take under 10 ms, rarely a few hundred
# A commit that neither answered nor failed by then is taken for lost: each of its requests has its
# own time-out, and waits for changes at hand for a second or two before.
COMMIT_TIMEOUT_S: Final = 10.0  # s
WRITE_STALL_S: Final = 30.0  # s; for which a leader may write nothing though there is something
WRITE_STALL_CHECK_INTERVAL_S: Final = 5.0  # s; between two looks at that
STATE_RETRY_INTERVAL_S: Final = 0.25  # s; between retries of a state-service call
# The rest is split among the other controllers, so that all parts sum to the limit.
LEADER_WRITE_RATE_RATIO: Final = (
    0.7  # share of write_rps for the leader: all progress goes through it
)
LEADER_REQUEST_RATE_RATIO: Final = 0.5  # share of rps for the leader; others serve users and watch
QUERY_REQUEST_RATE_RATIO: Final = (
    0.5  # of a node's requests, for reads on behalf of users' questions
)
COMMIT_COALESCING_S: Final = (
    0.03  # s; wait after the first dirty record, so one commit carries many
)
ADMISSION_LANE_COUNT: Final = (
    4  # commits of submissions under way at once; one slow one holds up a quarter
)
UNBATCHED_ADMISSION_RATIO: Final = (
    0.5  # of a second's changes at hand: a submission need not wait for company
)
ADMISSION_WRITE_RATE_RATIO: Final = (
    0.5  # of the changes a second that submissions take where they are short
)
JOB_END_BATCH_RATIO: Final = 0.9  # of a second's changes, that a commit of ends waits for at most
MAX_JOB_END_BATCH_WAIT_S: Final = 1.0  # s; how long it waits for them at most
HEDGE_DELAY_RATIO: Final = 1.4  # times the usual answer, after which a commit is sent a second time
MIN_HEDGE_DELAY_S: Final = 0.04  # s; not sooner: usual answers take 5 to 10 ms
COMMIT_OBSERVATION_DELAY_RATIO: Final = (
    2.0  # times that, after which what the commit writes is looked at as well
)
HEDGE_SPARE_WRITES_RATIO: Final = (
    0.25  # of a second's changes, that must be at hand beyond a second copy
)
MIN_HEDGE_READ_TOKENS: Final = 3.0  # requests at hand, with which a read may be sent a second time
LATENCY_SAMPLE_COUNT: Final = 31  # answers that the usual one is the median of
LONG_WATCH_BLOCK_S: Final = 20.0  # s; long watches keep the request budget free
FINAL_STATES_POLL_INTERVAL_S: Final = (
    0.5  # s; between two looks for final states, so many ends share one
)
WATCH_TIMEOUT_MARGIN_S: Final = 5.0  # s; beyond the block time before a watch counts as lost
LIST_PAGE_ROWS: Final = 200  # rows; 200 pages of task records stay far below 512 KiB... per reply
# Ended jobs that a leader still knows: late news of a submission must not bring one back, and
# that is late by seconds; at 70 ends a second these are those of the last 20 minutes.
MAX_ENDED_JOBS: Final = 100_000
MAX_GONE_MACHINES: Final = (
    50_000  # machines surely gone that a leader knows: copies come minutes late
)
TASKS_PER_PAGE: Final = 200  # tasks in one checkpoint; 200 live attempts take 7 KB of JSON
ATTEMPT_ENTRY_BYTES: Final = 36  # bytes; a live attempt in a page or the log: number, try, machine
MAX_PAGE_KB: Final = (
    TASKS_PER_PAGE * ATTEMPT_ENTRY_BYTES + 1024
) / 1024  # KiB; a page, and what is done
MIN_VALUE_KB: Final = 1.0  # KiB; the record of one job must fit a value
MIN_WRITE_RPS: Final = 3  # changes/s; the end of a job is three, written together
JOB_END_OPS: Final = 3  # changes of a job's end: its final key, its record, its batch
MIN_TXN_OPS: Final = 3  # changes; a job's end is three, and a fence has four times as many
MAX_SKIPPED_CHANGES: Final = (
    40  # changes that do not fit a commit, before the rest is left for the next one
)
COMMIT_HEADROOM_BYTES: Final = 512  # bytes; kept free below the limits, of small values an eighth
MAX_COMMIT_BYTES: Final = 64 * 1024  # bytes; a whole commit, from the protocol
SEGMENT_FILL_RATIO: Final = (
    0.5  # of a value; a fuller segment is not added to: rewriting costs bytes
)
MIN_LOG_SEGMENTS: Final = 24  # segments in use before pages are written to free the oldest
MIN_LOG_BYTES: Final = 24 * 16 * 1024  # bytes; small segments are kept in larger number
JOB_RECORD_OVERHEAD_BYTES: Final = 128  # bytes; a job's record beside its submission
MAX_JOB_ID_CHARS: Final = 100  # characters of a job's id: its keys stay below 200 bytes
LOG_ENTRY_BASE_BYTES: Final = 64  # bytes; an entry of the log without its operations

# --- fleet ------------------------------------------------------------------
COMMITTED_RESPONSE_HOLD_S: Final = (
    0.8  # s; a report may wait for its room's commit; workers give up at 4 s
)
IDLE_RESPONSE_HOLD_S: Final = (
    2.2  # s; as long for an idle machine; with COMMITTED_RESPONSE_HOLD_S under those 4 s
)
# No placing on a machine that missed its reports: they come every report_s plus a quarter.
SILENCE_REPORT_INTERVALS_RATIO: Final = 2.5  # times report_s; two late reports in a row
SILENCE_SLACK_S: Final = 0.5  # s; on top of that, for the way
MIN_LOST_RESPONSES: Final = (
    3  # answers in a row that a machine did not take, before it counts as deaf
)
LOST_RESPONSES_LEASE_RATIO: Final = 0.5  # of a lease, over which a session's answers must have gone
PROMPT_S: Final = 3.0  # s; an answer held for longer may come too late: workers give up at 4 s
WORKER_LEASE_MARGIN_S: Final = (
    2.0  # s; beyond lease_s before a silent machine's tasks count as dead
)
SILENT_RELEASE_LEASE_RATIO: Final = 2.5  # times lease_s; a machine silent this long is replaced
MAX_FAILED_MACHINES_PER_JOB: Final = (
    2  # machines a job failed on, with no success, before it is held
)
MIN_PROVEN_RUN_S: Final = 30.0  # s; a replica that ran so long shows that its service is sound
MAX_RECORDED_FAILED_MACHINES: Final = (
    3  # of them written with a page: enough for the next leader's verdict
)
# Beyond IDLE_RELEASE_S: one that runs nothing else is returned, and another is rented.
FAILED_MACHINE_AVOIDANCE_S: Final = (
    60.0  # s; a job that failed on a machine is tried there again, if nowhere else
)
MAX_MACHINE_FAILURES: Final = 2  # failures in a row on one machine before it is replaced
MIN_JOB_BACKOFF_S: Final = 2.0  # s; first pause of a faulty job, doubles with each failed probe
MAX_JOB_BACKOFF_S: Final = 60.0  # s; longest such pause: a broken job must not spin
KILL_GRACE_S: Final = 10.0  # s; time a stopped task with checkpoints may save

# --- rentals ----------------------------------------------------------------
MACHINE_LIST_INTERVAL_S: Final = 2.0  # s; the list lags by seconds anyway
MACHINE_TYPES_WAIT_S: Final = (
    1.5  # s; after an outage, until machine types were read: two pauses and the way
)
FLAVORS_READ_INTERVAL_S: Final = 20.0  # s; spot prices move slowly
CLOUD_REQUEST_TIMEOUT_S: Final = 6.0  # s
CLOUD_REACHABLE_S: Final = 15.0  # s; the leader asks the cloud every few seconds
REFUSED_POOL_PAUSE_S: Final = 12.0  # s; a pool that had no capacity is left alone for this long
IDLE_RELEASE_S: Final = 45.0  # s; an idle machine beyond what is wanted leaves after this
SUBMISSION_LULL_S: Final = 30.0  # s without any submission, after which idle machines leave sooner
LULL_IDLE_RELEASE_S: Final = 15.0  # s; how long they are kept then
BOOT_TIMEOUT_RATIO: Final = 3.0  # times bootS before a machine that never came up is returned
MIN_BOOT_TIMEOUT_S: Final = 30.0  # s; floor of the same
NEW_TERM_RENTAL_DELAY_S: Final = (
    4.0  # s; a new leader rents nothing before its machines had time to report
)
NEW_TERM_REPORTED_RATIO: Final = 0.9  # of them, that must have reported for it to rent sooner
NEW_TERM_FIRST_REPORT_TIMEOUT_S: Final = (
    20.0  # s; a new leader gives machines so long to report to it
)
MIN_BOOTING_RATIO: Final = 0.1  # of the usable machines: fewer that boot are not why work waits
BOOT_TIME_WEIGHT: Final = (
    0.2  # weight of one machine's boot time in what its pool's next ones will take
)
MAX_BOOT_TIME_RATIO: Final = 5.0  # times bootS; one very late machine must not close its pool
MIN_BOOT_TIME_S: Final = 1.0  # s; no machine is expected sooner
LATE_BOOT_RATIO: Final = 1.8  # times its expected boot time: not counted on any more; 1.5 is usual
MIN_LATE_BOOTS: Final = 3  # late machines of a pool, none newer up, before it is used less
FAILED_BOOT_RETENTION_S: Final = (
    240.0  # s; so long a machine that never came speaks against its pool
)
MAX_BOOT_PROBES: Final = 2  # machines by which such a pool is tried again
MAX_RENTED_PER_REQUEST: Final = 50  # machines per request, from the protocol
MAX_RELEASED_PER_REQUEST: Final = 100  # names per request, from the protocol
MIN_PREEMPTION_WAIT_S: Final = (
    4.0  # s; urgent work that waits less gains nothing by stopping others
)
EARLY_START_SLACK_RATIO: Final = (
    0.3  # of its slack, within which more urgent work should have started
)
STATUS_LOG_INTERVAL_S: Final = 10.0  # s; between two lines in the log on what runs and what waits
PREEMPTION_INTERVAL_S: Final = 1.0  # s; looking for room to be made costs more than placing
MAX_PREEMPTION_LOSS_RATIO: Final = 1.0  # work a stop may lose, over the work that it lets start
MAX_TASKS_PER_JOB_AND_ROUND: Final = (
    500  # tasks of one job looked at per round; a round must stay short
)
# Below this the order of jobs is worth more than the fetch; 0.13 and 1.0 were met.
IMAGE_LOCALITY_RATIO: Final = (
    0.25  # fetch over run time, from which work goes first to where its image is
)
IMAGE_LOCALITY_CPU_RATIO: Final = (
    3.0  # times the CPUs a job needs, that come free where its image is in time
)
REPORT_TIME_STEP_S: Final = 2.5  # s; machines that report within one step are as good as each other
MAX_PARALLEL_FETCH_S: Final = 12.0  # s; a second image is fetched beside another only if faster
UNUSED_MAXIMUM_HORIZON_S: Final = (
    60.0  # s; what a maximum leaves is kept only for work that gets room by then
)
RETURN_RATIO: Final = 0.1  # of the machines, on which guests' work is stopped in one round
MAX_RESERVED_MACHINES_RATIO: Final = (
    0.25  # of the machines, that waiting granted work may keep for itself
)
# 10 measured 0.714 over three days with three seeds of ulan-archive, 20 measured 0.694.
MAX_RENTAL_WAIT_S: Final = 10.0  # s; no task should wait longer for a machine that could be rented
MAX_PRICE_RATIO: Final = 2.6  # times the cheapest room there could be; dearer pools are left alone
EXPECTED_RENTAL_DURATION_S: Final = (
    180.0  # s; about how long a machine serves, to spread the price of its boot
)
EXPENSIVE_POOL_WAIT_S: Final = 60.0  # s; work that would wait longer may use dearer pools
OVERDUE_RATIO: Final = 0.3  # of what an overdue task has run: how long it is expected to go on
MAX_GUEST_RENTAL_WAIT_S: Final = 30.0  # s; guests' work may wait longer before it is rented for
MIN_RENTAL_PLAN_INTERVAL_S: Final = 0.4  # s; between two plans of what to rent
RENTAL_PLAN_PAUSE_RATIO: Final = 5.0  # times what a plan took: at least so long until the next one
RENTAL_PLAN_STEP_S: Final = 0.5  # s; CPUs that come free within such a step are planned as one

# --- licences ---------------------------------------------------------------
SEAT_CLAIM_PERIOD_S: Final = (
    6.0  # s; who has a right to a free seat and no room lets others by so long
)
SEAT_STARVATION_WAIT_S: Final = 20.0  # s; work that needs several pools is kept seats after this
MAX_TASKS_GIVEN_FREED_SEATS: Final = 8  # tasks of a job for which seats are freed at once
SEAT_SERVER_STEP_INTERVAL_S: Final = (
    0.25  # s; between two steps of a pool's dealings with its server
)
SEAT_LIST_INTERVAL_S: Final = 2.0  # s; between two looks at a server's list
SEAT_SERVER_STALE_S: Final = 8.0  # s; without an answer for so long a server is out of reach
SEAT_REQUEST_TIMEOUT_S: Final = 2.0  # s; a server's answer
MIN_SEAT_RETRY_PAUSE_S: Final = 0.5  # s; first pause after a refusal or failure, doubles
MAX_SEAT_RETRY_PAUSE_S: Final = 8.0  # s; longest such pause: people give seats back at any time
SEAT_RENEWAL_RATIO: Final = 0.4  # of a seat's time, after which it is renewed
SEAT_LEASE_MARGIN_S: Final = 1.0  # s; a seat counts as lost so long before its time is over
SPARE_SEAT_RETENTION_S: Final = 3.0  # s; a spare seat is kept for work that may come
MAX_SEATS_PER_REQUEST: Final = 500  # names in one request; 10 KB of JSON
MIN_SEAT_LEASE_S: Final = 10.0  # s; a server must keep seats through a change of leader

# --- peers and intake --------------------------------------------------------
MAX_NETSTRING_BYTES: Final = 1 << 20  # bytes; the longest message a peer may send
PEER_REQUEST_TIMEOUT_S: Final = 1.0  # s; an answer over a peer link
MAX_PEER_STATUS_AGE_S: Final = 3.5  # s; a peer's last status counts this long
MAX_BODY_BYTES: Final = 64 * 1024  # bytes; from the protocol
INTAKE_DEADLINE_S: Final = 4.0  # s; users give up at 5 s
STATUS_QUERY_DEADLINE_S: Final = 1.6  # s; users wait 2 s for a poll
MAX_CONCURRENT_LOOKUPS: Final = (
    3  # requests for questions at once: one lost answer must not hold up all
)
MAX_PENDING_READS: Final = (
    64  # keys to be read for questions; more would wait over STATUS_QUERY_DEADLINE_S
)
MAX_CACHED_FINAL_STATES: Final = 20_000  # final states kept in memory on each node
RETRY_AFTER_S: Final = 1  # s; what a user is told when nothing can be decided
# Parts of the sockets that the platform allows, so that they fit a fleet of any size.
MIN_SOCKETS: Final = 32  # a controller with fewer can't be told apart from a mistake
OUTGOING_SOCKETS_RATIO: Final = 0.12  # kept for controllers, state service, cloud; 184 of 1,532
CROWDED_CONNECTIONS_RATIO: Final = 0.85  # of the rest, above which answers close their connections
MAX_UNFINISHED_CONNECTIONS_RATIO: Final = (
    0.7  # of the rest, without a whole request: 943 of 1,348, as a fleet of
)
# 890 that comes back at once opens all its connections before the first is read.
MAX_IDLE_USER_CONNECTIONS_RATIO: Final = (
    0.3  # of the rest, of users that ask nothing; new ones go elsewhere
)
READ_TIMEOUT_S: Final = (
    10.0  # s; a head and body take at most; users give up at 5 s, workers at 4 s
)
MAX_OLD_UNFINISHED_CONNECTIONS: Final = (
    128  # connections without a whole request that may stay, once not new
)
NEW_CONNECTION_GRACE_S: Final = (
    1.0  # s; so long one is new: a fleet that comes back at once is not cut
)
MAX_CONCURRENT_USER_REQUESTS: Final = (
    256  # users' requests answered at once; twice what a burst of 1 s brings
)
SHUTDOWN_GRACE_S: Final = 0.5  # s; answers under way have so long when a server is closed
CONNECTION_CHECK_INTERVAL_S: Final = 0.5  # s; between two looks at them
KEEPALIVE_TIMEOUT_S: Final = (
    120.0  # s; an idle connection is kept; workers report every few seconds
)
MAX_STATE_ANSWER_AGE_S: Final = 2.5  # s; without a state answer before /up asks the peers
MAX_REDIRECT_RETURN_S: Final = 20.0  # s; a worker back within this after a redirect is relayed
MIN_REDIRECT_RETURN_S: Final = (
    0.9  # s; one back sooner was never there: workers wait for 1 s, less drift
)
RELAY_PERIOD_S: Final = 40.0  # s; so long relayed, a worker tries the leader itself again
# The longest hold of a relayed report, RELAYED_IDLE_RESPONSE_HOLD_S and two COMMITTED_RESPONSE_HOLD_S, stays below this,
# and this below the 4 s after which workers give up.
RELAYED_REPORT_TIMEOUT_S: Final = 3.4  # s; a relayed report's answer
RELAYED_IDLE_RESPONSE_HOLD_S: Final = (
    1.2  # s; an idle machine's relayed report is held for this long
)
MIN_RETURNED_WORKERS: Final = (
    3  # workers that came back from the leader, before all are relayed at once
)
RETURNED_WORKERS_WINDOW_S: Final = 6.0  # s; within which they came back

# --- moves --------------------------------------------------------------------
MAX_MOVE_TARGETS_PER_TASK: Final = 12  # targets looked at for each resident
MAX_MOVE_TARGETS: Final = 96  # targets that are looked at in all, the tightest
MAX_MOVE_CANDIDATE_HOSTS: Final = 24  # hosts whose tasks are looked at, those with most room
MAX_MOVE_SEARCHED_HOSTS: Final = 8  # machines searched for one large task, the most promising first
MAX_MOVE_SEARCH_STEPS: Final = 1500  # steps of search for one plan, to bound its time
MOVE_SEARCH_RETRY_INTERVAL_S: Final = 2.0  # s; between two searches for the same shape of work
MOVE_SEARCH_INTERVAL_S: Final = 1.0  # s; between two looks for plans
MIN_MOVE_WAIT_S: Final = 5.0  # s; large work that waits less may fit by itself in a moment
MAX_CONCURRENT_MOVE_PLANS: Final = 4  # plans carried out at once
MOVE_PLAN_TIMEOUT_S: Final = 60.0  # s; a plan that takes longer is dropped
MOVE_TARGET_RESERVATION_S: Final = 30.0  # s; a target is kept for a stopped task so long
MOVE_DURATION_SLACK_S: Final = (
    2.0  # s; on top of save, fetch and reports in what a plan should take
)
MAX_MOVE_GAIN_S: Final = 600.0  # s; a wait that is longer counts as this long

# --- days of the simulated region ---------------------------------------------
MAX_DAY_MACHINES: Final = 10_000  # more take more memory and time than one run should
MAX_DAY_TASKS_PER_JOB: Final = 100_000  # of one job, from the protocol
MAX_DAY_CLASS_JOBS: Final = 100_000  # of one class
MAX_DAY_FAULT_FLAPS: Final = 1000  # ends of one controller in one fault
FAST_RESTART_RANGE_S: Final = (0.05, 0.5)  # s; a process that ends may be back within this
SLOW_RESTART_RANGE_S: Final = (1.0, 6.0)  # s; or after this
