"""The tuning constants of the program, each with its unit and, where needed, its reason.

The suffix of a name is its unit: `_S` seconds, `_BYTES`, `_KB` KiB, `_RPS` requests a second,
`_RATIO` a fraction or factor. Constants that an operator may override are the defaults of
`settings.OperatorSettings`.
"""

from typing import Final

# --- fair sharing -------------------------------------------------------------
# The safety check assumes at least this many teams.
MIN_FAIRNESS_TEAMS: Final = 3
MAX_ROUND_INTERVAL_S: Final = 1.0  # longest time between two scheduling rounds
# Shortest gap between rounds, so that a burst of reports is handled in one round.
MIN_ROUND_INTERVAL_S: Final = 0.15
# Ratio of the cluster that the least-served queue gets at once in step 6 of a round.
DRF_STEP: Final = 0.005
# A queue whose oldest job waits longer than this is starved and gets half of its fair share.
STARVATION_WAIT_S: Final = 30.0
# A starved queue that holds more than this ratio of that half is being served, if slowly, and
# gets nothing extra.
STARVATION_ALLOCATION_RATIO: Final = 0.5
# Ratio of the capacity that starved queues get before the others.
STARVATION_CAPACITY_RATIO: Final = 0.5
LARGEST_JOBS_RATIO: Final = 0.1  # of a class's unfinished jobs count as its largest
# The largest jobs that wait longer than this get a part of their queue's share.
LARGEST_WAIT_S: Final = 60.0
LARGEST_BOUND_WAIT_S: Final = 150.0  # the same for those that can still meet a bound
# Ratio of the queue's share that the longest-waiting of them gets until it is done.
LARGEST_SHARE: Final = 0.3
# That ratio grows up to this one so that all tasks of the job run at once, without a second wave.
LARGEST_LIMIT: Final = 0.5
# Ratio of the machines reserved for tasks of starved queues that need much of one machine.
STARVATION_RESERVE_RATIO: Final = 0.05
# A machine selected to be drained for a queue stays selected for this long, as long as it becomes
# free at most this much later than the best alternative.
DRAIN_RESELECTION_S: Final = 10.0
# Ratio of the capacity that is split evenly among all teams in addition to their guarantees.
EVEN_SHARE_RATIO: Final = 0.25
# The pause after a round is at least this many times the round's duration, for other work.
ROUND_PAUSE_RATIO: Final = 4.0
# Weight of a new observation in the run-time correction of a class.
RUN_TIME_CORRECTION_WEIGHT: Final = 0.3
# Bounds of that correction: estimates are off by half, not by a factor of 10.
MIN_RUN_TIME_CORRECTION_RATIO: Final = 0.3
MAX_RUN_TIME_CORRECTION_RATIO: Final = 3.0
# The queues' records are split over at most this many values; each is read at a start.
MAX_QUEUE_RECORD_VALUES: Final = 6
BURST_GAP_S: Final = 5.0  # jobs of a queue that arrive closer than this form one burst

# --- leadership ---------------------------------------------------------------
# A crashed leader blocks the cluster until its lease ends. The lease therefore adapts to the
# slow answers of the state service and to the event-loop delays of the controllers.
MAX_LEADER_LEASE_S: Final = 3.0  # also used after a lease expired while its holder was healthy
MIN_LEADER_LEASE_S: Final = 1.8  # leaves 1.4 s after the margin
LEASE_RESPONSE_TIME_RATIO: Final = 3.0  # times a slow answer of the state service is added
LEASE_LOOP_DELAY_RATIO: Final = 2.0  # times the worst event-loop delay is added
# The lease has its full length for this long after one expired while its holder was healthy.
LONG_LEASE_PERIOD_S: Final = 300.0
# Interval between renewals as a ratio of the lease: four attempts fit into one lease.
LEASE_RENEWAL_INTERVAL_RATIO: Final = 0.23
# Renewals in flight at once: one late answer must not delay the next renewal.
MAX_CONCURRENT_RENEWALS: Final = 3
# A commit that transfers the leadership and takes longer than this ends the lease.
HANDOVER_COMMIT_TIMEOUT_S: Final = 0.5
# Delay between the campaigns of two controllers, in the order of their readiness.
CAMPAIGN_STAGGER_S: Final = 0.08
# Highest rank that still adds a delay: with 50 controllers the last must not wait for seconds.
MAX_CAMPAIGN_RANK: Final = 8
CLOCK_DRIFT_RATIO: Final = 0.001  # twice the bound on monotonic clocks (0.05 %)
LEADER_LEASE_MARGIN_S: Final = 0.4  # a leader stops acting this long before its lease can end
LEADER_WATCH_BLOCK_S: Final = 5.0  # how long a follower's watch on the leader key blocks
CAMPAIGN_RETRY_INTERVAL_S: Final = 0.25  # between failed campaigns, with jitter
# Part of cancel_s that is left unused when worker leases are kept during an outage.
CANCELLATION_GRACE_MARGIN_S: Final = 5.0
CANCELLATION_POLL_INTERVAL_S: Final = 2.0  # between two polls of all other controllers in an outage
# Covers the transfer of a poll, at most PEER_REQUEST_TIMEOUT_S, and the drift of the clocks.
CANCELLATION_POLL_SLACK_S: Final = 3.0
# Acknowledged cancellations that a process remembers; they take 2 MB.
MAX_REMEMBERED_CANCELLATIONS: Final = 20_000

# --- membership ---------------------------------------------------------------
# Between two probe rounds: two rounds must be lost before a controller is suspected.
PROBE_ROUND_INTERVAL_S: Final = 0.5
# Controllers besides the leader that are pinged in a round, which bounds its cost.
PINGED_FOLLOWERS_PER_ROUND: Final = 1
# A controller without a sign of life for this long is suspected: two probes and the transfer.
SUSPICION_TIMEOUT_S: Final = 1.2
HINTS_INTERVAL_S: Final = 4.0  # between two hints on state that is not in the record
MAX_HINTS_AGE_S: Final = 30.0  # older hints are of no use
MAX_HINTS_PER_KIND: Final = 1000  # for the kinds that can have many entries
# Controllers that get hints. 0 turns them off: with 2, the result of a bench day fell by 0.06.
HINTS_PEER_COUNT: Final = 0
# Controllers that a new leader notifies at once; the others learn of it in their probe round.
MAX_ANNOUNCED_PEERS: Final = 16
# A ping that is unanswered for this long is repeated through other controllers.
INDIRECT_PROBE_DELAY_S: Final = 0.1
# Controllers asked for an indirect probe: one of them may be cut off as this one is.
INDIRECT_PROBE_HELPER_COUNT: Final = 2
HEALTH_CHECK_INTERVAL_S: Final = 1.0  # between two health checks of a leader on itself
# A leader without the cloud, or without a direct worker report, for this long hands over.
UNHEALTHY_LEADER_TIMEOUT_S: Final = 6.0
# A controller makes no second planned handover within this pause, which doubles up to the maximum.
MIN_HANDOVER_PAUSE_S: Final = 60.0
MAX_HANDOVER_PAUSE_S: Final = 900.0
MAX_HANDOVER_CANDIDATES: Final = 2  # controllers asked whether they are better placed to lead
HANDOVER_REQUEST_TIMEOUT_S: Final = 2.0  # for a candidate's health check and its lease
# An answer takes milliseconds, or as long as a delayed event loop.
PING_RESPONSE_TIMEOUT_S: Final = 0.6
# How long a helper waits for an indirect probe; shorter than the requester waits for the helper.
INDIRECT_PROBE_TIMEOUT_S: Final = 0.5
# While its event loop is delayed by more than this, a controller can't judge others' silence.
LOOP_DELAY_THRESHOLD_S: Final = 0.4
LOOP_DELAY_RETENTION_S: Final = 30.0  # how long event-loop delays are remembered
# Previous processes remembered of a controller; a message is delayed by a second at most.
MAX_PREVIOUS_PROCESSES: Final = 4
# A status that is older than this by its sender's wall clock is no sign of life.
MAX_STATUS_AGE_S: Final = 1.0
DROPPED_MESSAGES_LOG_INTERVAL_S: Final = 60.0  # between two log lines about dropped messages
# Tokens are integers below 2^64. This value is assumed until one has been read.
MAX_FENCING_TOKEN: Final = 1 << 63
# Of messages and records; raised when other controllers must know which version one runs.
PROTOCOL_VERSION: Final = 1
# A process younger than this lets others campaign first: it may be in a crash loop.
MIN_CAMPAIGN_UPTIME_S: Final = 10.0
# Seconds of changes by which another controller may know a higher revision than this one.
REVISION_LOOKAHEAD_S: Final = 60.0
# Reports are held for an unknown leader for this long; after that the leader is only out of this
# controller's reach, and none is held.
MAX_NO_LEADER_S: Final = 4.0
NO_LEADER_REPORT_HOLD_S: Final = 2.4  # one report is held for a leader; workers give up at 4 s
# A controller's membership lease; a controller that is back within about 6 s keeps its key.
MEMBER_LEASE_S: Final = 12.0
# Below MAX_STATE_ANSWER_AGE_S, so that an idle controller still knows whether it reaches the
# state service.
MEMBER_LEASE_RENEWAL_INTERVAL_S: Final = 2.0

# --- pipelines ----------------------------------------------------------------
# Ends of jobs read at once: a takeover must not spend a second's requests on them.
MAX_JOB_END_READS: Final = 8
MAX_LOGGED_JOBS: Final = 5  # names of unfinished dependencies in one log line
# Longest pause between two lookups of a dependency that is not on record yet.
MAX_DEPENDENCY_LOOKUP_PAUSE_S: Final = 4.0
UPCOMING_WORK_HORIZON_S: Final = 60.0  # work that may start within this counts in rental plans
# The last of a job's tasks takes this many times the usual run time.
LAST_TASK_RUN_TIME_RATIO: Final = 1.3
# From a durable job end to the next stage's launches: a commit, a round and a report.
STAGE_START_DELAY_S: Final = 1.5

# --- state service and record -------------------------------------------------
STATE_REQUEST_TIMEOUT_S: Final = 2.0  # replies take under 10 ms, rarely a few hundred
# A commit that neither succeeded nor failed by then counts as lost: each of its requests has its
# own timeout, and before that it waits for write tokens for a second or two.
COMMIT_TIMEOUT_S: Final = 10.0
WRITE_STALL_S: Final = 30.0  # how long a leader may write nothing although changes are pending
WRITE_STALL_CHECK_INTERVAL_S: Final = 5.0
STATE_RETRY_INTERVAL_S: Final = 0.25  # between retries of a call of the state service
# Ratios of write_rps and rps for the leader: all progress goes through its writes, while the
# others serve users and watch. The rest is split evenly among the other controllers, so that all
# parts add up to the limit.
LEADER_WRITE_RATE_RATIO: Final = 0.7
LEADER_REQUEST_RATE_RATIO: Final = 0.5
QUERY_REQUEST_RATE_RATIO: Final = 0.5  # of a controller's requests, for reads that users cause
COMMIT_RETRY_INTERVAL_S: Final = 0.1  # before a submission that was not executed is sent again
COMMIT_COALESCING_S: Final = 0.03  # wait after the first dirty record, so that a commit has many
# Concurrent commits of submissions; a slow one delays a quarter of the submissions.
ADMISSION_LANE_COUNT: Final = 4
# With this ratio of a second's write tokens available, a submission is not delayed for batching.
UNBATCHED_ADMISSION_RATIO: Final = 0.5
# Ratio of the write rate that submissions get when write tokens are short.
ADMISSION_WRITE_RATE_RATIO: Final = 0.5
# A commit of job ends waits for at most this ratio of a second's write tokens, and no longer
# than MAX_JOB_END_BATCH_WAIT_S.
JOB_END_BATCH_RATIO: Final = 0.9
MAX_JOB_END_BATCH_WAIT_S: Final = 1.0
# A commit is sent a second time after this many times the usual answer time.
HEDGE_DELAY_RATIO: Final = 1.4
MIN_HEDGE_DELAY_S: Final = 0.04  # usual answers take 5 to 10 ms
# After this many times the hedge delay, the keys that a commit writes are read as well.
COMMIT_OBSERVATION_DELAY_RATIO: Final = 2.0
# Ratio of a second's write tokens that must remain available beyond a second copy of a commit.
HEDGE_SPARE_WRITES_RATIO: Final = 0.25
MIN_HEDGE_READ_TOKENS: Final = 3.0  # request tokens with which a read may be sent again
LATENCY_SAMPLE_COUNT: Final = 31  # answers whose median is the usual answer time
LONG_WATCH_BLOCK_S: Final = 20.0  # long watches save requests
# Between two reads of final states, so that several job ends share one read.
FINAL_STATES_POLL_INTERVAL_S: Final = 0.5
WATCH_TIMEOUT_MARGIN_S: Final = 5.0  # beyond the block time before a watch counts as lost
LIST_PAGE_ROWS: Final = 200  # 200 pages of task records stay far below 512 KiB per reply
# Ended jobs that a leader still remembers. A submission that arrives late must not start an ended
# job again; it is late by seconds, and at 70 ends a second these are the last 20 minutes.
MAX_ENDED_JOBS: Final = 100_000
# Machines certainly gone that a leader remembers: copies of reports arrive minutes late.
MAX_GONE_MACHINES: Final = 50_000
TASKS_PER_PAGE: Final = 200  # tasks in one checkpoint; 200 live attempts take 7 KB of JSON
# A live attempt in a page or in the log: task number, attempt number, machine.
ATTEMPT_ENTRY_BYTES: Final = 36
# A full page with its list of finished tasks.
MAX_PAGE_KB: Final = (TASKS_PER_PAGE * ATTEMPT_ENTRY_BYTES + 1024) / 1024
MIN_VALUE_KB: Final = 1.0  # the record of one job must fit a value
MIN_WRITE_RPS: Final = 3  # changes a second; a job's end is three, written together
JOB_END_OPS: Final = 3  # changes of a job's end: its final key, its record, its batch
# A job's end is three changes, and a fence has four times as many.
MIN_TXN_OPS: Final = 3
# Changes that do not fit a commit before the rest is left for the next commit.
MAX_SKIPPED_CHANGES: Final = 40
# Kept free below the size limits; an eighth of the limit for small values.
COMMIT_HEADROOM_BYTES: Final = 512
MAX_COMMIT_BYTES: Final = 64 * 1024  # limit of the protocol for a whole commit
# The longest value that a commit can hold beside its key, its conditions and the leader's.
MAX_COMMITTED_VALUE_BYTES: Final = 60 * 1024
MAX_KEY_BYTES: Final = 200  # of a key of the state service, limit of the protocol
CONDITION_OVERHEAD_BYTES: Final = 48  # a condition of a commit without its key
# A log segment filled above this ratio is not appended to: rewriting it costs bytes.
SEGMENT_FILL_RATIO: Final = 0.5
# Segments in use before pages are written to free the oldest ones. With small segments the
# number of bytes decides, so that more of them are kept.
MIN_LOG_SEGMENTS: Final = 24
MIN_LOG_BYTES: Final = 24 * 16 * 1024
JOB_RECORD_OVERHEAD_BYTES: Final = 128  # a job's record beside its submission
MAX_JOB_ID_CHARS: Final = 100  # keeps the job's keys below 200 bytes
LOG_ENTRY_BASE_BYTES: Final = 64  # a log entry without its operations
# Ratio of a controller's memory that unfinished jobs may take; the process, its machines and the
# messages under way need the rest.
JOBS_MEMORY_RATIO: Final = 0.4
JOB_MEMORY_BYTES: Final = 6 * 1024  # memory of a job beside its record and its pages
# Memory of a job's record as a multiple of its stored size: while a new leader loads it, the row,
# the decoded value and the encoded record exist at once.
RECORD_MEMORY_RATIO: Final = 4
PAGE_MEMORY_BYTES: Final = 768  # memory of a page of tasks without their live attempts

# --- workers and machines -----------------------------------------------------
# Workers give up on an answer at 4 s. A report's answer may wait this long for the commit of its
# launches, and for IDLE_RESPONSE_HOLD_S on an idle machine; together that stays below 4 s.
COMMITTED_RESPONSE_HOLD_S: Final = 0.8
IDLE_RESPONSE_HOLD_S: Final = 2.2
# No work is placed on a machine that missed its reports, which come every report_s plus a
# quarter. The ratio covers two late reports in a row, the slack the transfer.
SILENCE_REPORT_INTERVALS_RATIO: Final = 2.5
SILENCE_SLACK_S: Final = 0.5
# Successive responses that a machine did not receive before it counts as unreachable.
MIN_LOST_RESPONSES: Final = 3
# Ratio of a lease over which a session's responses must have been sent for that.
LOST_RESPONSES_LEASE_RATIO: Final = 0.5
# A response that was held for longer may arrive too late: workers give up at 4 s.
PROMPT_S: Final = 3.0
# Beyond lease_s before the tasks of a silent machine count as dead.
WORKER_LEASE_MARGIN_S: Final = 2.0
# A machine that is silent for this many times lease_s is replaced.
SILENT_RELEASE_LEASE_RATIO: Final = 2.5
# Machines on which a job failed without any success before the job is held back.
MAX_FAILED_MACHINES_PER_JOB: Final = 2
MIN_PROVEN_RUN_S: Final = 30.0  # a replica that ran this long shows that its service works
# Machines on which a job failed that are written with a page: enough for the next leader to decide
# whether the job is held back.
MAX_RECORDED_FAILED_MACHINES: Final = 3
# A machine on which a job failed is the last choice for that job for this long. Longer than
# IDLE_RELEASE_S, so that a machine that runs nothing else is returned meanwhile and another one
# is rented.
FAILED_MACHINE_AVOIDANCE_S: Final = 60.0
MAX_MACHINE_FAILURES: Final = 2  # in a row on one machine before it is replaced
# First pause of a failing job, doubled with each failed retry up to the longest pause, so that a
# broken job does not restart in a tight loop.
MIN_JOB_BACKOFF_S: Final = 2.0
MAX_JOB_BACKOFF_S: Final = 60.0
MAX_BACKOFF_DOUBLINGS: Final = 8  # beyond it the pause is the longest anyway
# Jobs that one decision leaves out after errors before the error stops the decision itself.
MAX_JOBS_SET_ASIDE_AT_ONCE: Final = 8
KILL_GRACE_S: Final = 10.0  # time in which a stopped task with checkpoints may save

# --- rentals ------------------------------------------------------------------
MACHINE_LIST_INTERVAL_S: Final = 2.0  # the list lags by seconds anyway
# After an outage, until the machine types are read: two pauses and the transfer.
MACHINE_TYPES_WAIT_S: Final = 1.5
FLAVORS_READ_INTERVAL_S: Final = 20.0  # spot prices change slowly
CLOUD_REQUEST_TIMEOUT_S: Final = 6.0
# The cloud counts as reachable for this long after an answer; the leader asks every few seconds.
CLOUD_REACHABLE_S: Final = 15.0
REFUSED_POOL_PAUSE_S: Final = 12.0  # a pool that had no capacity is not asked for this long
IDLE_RELEASE_S: Final = 45.0  # an idle machine that is not needed is returned after this
# Without a submission for this long, idle machines are returned after LULL_IDLE_RELEASE_S.
SUBMISSION_LULL_S: Final = 30.0
LULL_IDLE_RELEASE_S: Final = 15.0
# A machine that has not come up after this many times bootS is returned, but not before the
# minimum.
BOOT_TIMEOUT_RATIO: Final = 3.0
MIN_BOOT_TIMEOUT_S: Final = 30.0
# A new leader rents nothing until its machines had this time to report, or until the ratio
# below of them has reported.
NEW_TERM_RENTAL_DELAY_S: Final = 4.0
NEW_TERM_REPORTED_RATIO: Final = 0.9
# Time that a new leader gives a machine for its first report.
NEW_TERM_FIRST_REPORT_TIMEOUT_S: Final = 20.0
# Booting machines below this ratio of the usable ones are not given as the reason for waiting.
MIN_BOOTING_RATIO: Final = 0.1
# Weight of one machine's boot time in the boot time expected for its pool.
BOOT_TIME_WEIGHT: Final = 0.2
MAX_BOOT_TIME_RATIO: Final = 5.0  # times bootS; one very late machine must not disable its pool
MIN_BOOT_TIME_S: Final = 1.0  # no machine is expected sooner
# A machine is late after this many times its expected boot time; 1.5 is usual.
LATE_BOOT_RATIO: Final = 1.8
# Late machines of a pool, with no newer one up, before the pool is used less.
MIN_LATE_BOOTS: Final = 3
FAILED_BOOT_RETENTION_S: Final = 240.0  # a machine that never came up counts as late this long
MAX_BOOT_PROBES: Final = 2  # machines rented at once to try such a pool again
MAX_RENTED_PER_REQUEST: Final = 50  # machines, limit of the protocol
MAX_RELEASED_PER_REQUEST: Final = 100  # names, limit of the protocol
# Urgent work that would wait less than this gains nothing from preempting others.
MIN_PREEMPTION_WAIT_S: Final = 4.0
EARLY_START_SLACK_RATIO: Final = 0.3  # of its slack, within which more urgent work should start
STATUS_LOG_INTERVAL_S: Final = 10.0  # between two log lines on running and waiting work
PREEMPTION_INTERVAL_S: Final = 1.0  # a search for preemptions costs more than placing
# Work that a preemption may lose, relative to the work that it lets start.
MAX_PREEMPTION_LOSS_RATIO: Final = 1.0
MAX_TASKS_PER_JOB_AND_ROUND: Final = 500  # keeps a round short
# Image fetch time over run time from which work is placed first where its image is. Below this
# the order of jobs is worth more than the fetch; ratios of 0.13 and 1.0 occur.
IMAGE_LOCALITY_RATIO: Final = 0.25
# Work stays with its image if this many times the CPUs that the job needs become free there in
# time.
IMAGE_LOCALITY_CPU_RATIO: Final = 3.0
REPORT_TIME_STEP_S: Final = 2.5  # machines that report within one step are equally good
# A second image is fetched beside another one only if that takes less than this.
MAX_PARALLEL_FETCH_S: Final = 12.0
# Resources that a team's maximum leaves unused are reserved only for work that fits by then.
UNUSED_MAXIMUM_HORIZON_S: Final = 60.0
RETURN_RATIO: Final = 0.1  # of the machines, on which guests' work is preempted in one round
# Ratio of the machines that waiting work with a guarantee may reserve.
MAX_RESERVED_MACHINES_RATIO: Final = 0.25
# No task should wait longer than this for a machine that could be rented. Three days of
# ulan-archive with three seeds give 0.714 with 10 s and 0.694 with 20 s.
MAX_RENTAL_WAIT_S: Final = 10.0
# Pools that cost more than this many times the cheapest possible room are not used.
MAX_PRICE_RATIO: Final = 2.6
# Approximate rental time of a machine, over which the price of its boot is spread.
EXPECTED_RENTAL_DURATION_S: Final = 180.0
EXPENSIVE_POOL_WAIT_S: Final = 60.0  # work that would wait longer may use more expensive pools
# An overdue task is expected to run for this ratio of the time that it has run so far.
OVERDUE_RATIO: Final = 0.3
MAX_GUEST_RENTAL_WAIT_S: Final = 30.0  # guests' work may wait longer before a machine is rented
MIN_RENTAL_PLAN_INTERVAL_S: Final = 0.4
# The pause after a rental plan is at least this many times the plan's computing time.
RENTAL_PLAN_PAUSE_RATIO: Final = 5.0
RENTAL_PLAN_STEP_S: Final = 0.5  # CPUs that become free within one step are planned as one

# --- licences -----------------------------------------------------------------
# Work that has a claim to a free seat but no room to run gives way to others for this long.
SEAT_CLAIM_PERIOD_S: Final = 6.0
SEAT_STARVATION_WAIT_S: Final = 20.0  # work that needs several pools has seats reserved after this
MAX_TASKS_GIVEN_FREED_SEATS: Final = 8  # tasks of a job for which seats are freed at once
SEAT_SERVER_STEP_INTERVAL_S: Final = 0.25  # between two exchanges of a pool with its server
SEAT_LIST_INTERVAL_S: Final = 2.0  # between two reads of a server's list
SEAT_SERVER_STALE_S: Final = 8.0  # without an answer for this long a server is unreachable
SEAT_REQUEST_TIMEOUT_S: Final = 2.0
# First pause after a refusal or failure, doubled up to the longest pause. That one is short
# because people return seats at any time.
MIN_SEAT_RETRY_PAUSE_S: Final = 0.5
MAX_SEAT_RETRY_PAUSE_S: Final = 8.0
SEAT_RENEWAL_RATIO: Final = 0.4  # of a seat's lease, after which it is renewed
SEAT_LEASE_MARGIN_S: Final = 1.0  # a seat counts as lost this long before its lease ends
SPARE_SEAT_RETENTION_S: Final = 3.0  # a spare seat is kept this long for work that may arrive
MAX_SEATS_PER_REQUEST: Final = 500  # names in one request; 10 KB of JSON
MIN_SEAT_LEASE_S: Final = 10.0  # a server must keep seats through a change of leader

# --- peers and requests -------------------------------------------------------
MAX_NETSTRING_BYTES: Final = 1 << 20  # the longest message that a peer may send
PEER_REQUEST_TIMEOUT_S: Final = 1.0  # for an answer over a peer link
MAX_PEER_STATUS_AGE_S: Final = 3.5  # how long a peer's last status is used
MAX_BODY_BYTES: Final = 64 * 1024  # limit of the protocol
MAX_RESPONSE_LINE_BYTES: Final = 64 * 1024  # limit of the protocol, to workers and users
# Of a worker's report. Longer than the limit of the protocol, so that a machine on which another
# version placed too many tasks keeps its lease while they end.
MAX_REPORT_BODY_BYTES: Final = 4 * MAX_BODY_BYTES
# Of an error text in an answer: it may quote a request, and escaped characters are longer there.
MAX_ERROR_CHARS: Final = 1000
REPORT_HEADER_BYTES: Final = 1024  # a report without its tasks
ORDERS_HEADER_BYTES: Final = 64  # a response to a worker without its orders
INTAKE_DEADLINE_S: Final = 4.0  # users give up at 5 s
STATUS_QUERY_DEADLINE_S: Final = 1.6  # users wait 2 s for a poll
# Requests for lookups in flight at once: one lost answer must not delay all others.
MAX_CONCURRENT_LOOKUPS: Final = 3
# Keys waiting to be read for queries; more would wait longer than STATUS_QUERY_DEADLINE_S.
MAX_PENDING_READS: Final = 64
MAX_CACHED_FINAL_STATES: Final = 20_000  # kept in memory on each controller
RETRY_AFTER_S: Final = 1  # sent to a user when nothing can be decided
MEMORY_RETRY_AFTER_S: Final = 10  # sent to a user when there is no memory for another job
# Connections are limited to ratios of the sockets that the platform allows, so that the limits
# fit a fleet of any size.
MIN_SOCKETS: Final = 32  # a setting below this is taken for a mistake
# Kept for controllers, state service and cloud; 184 of 1,532.
OUTGOING_SOCKETS_RATIO: Final = 0.12
CROWDED_CONNECTIONS_RATIO: Final = 0.85  # of the rest, above which answers close connections
# Connections without a whole request, of the rest: 943 of 1,348. A fleet of 890 that reconnects at
# once opens all its connections before the first one is read.
MAX_UNFINISHED_CONNECTIONS_RATIO: Final = 0.7
# Of the rest, for connections of idle users. Above this the oldest one is closed, so that new
# connections go to other controllers.
MAX_IDLE_USER_CONNECTIONS_RATIO: Final = 0.3
# For a request's head and body; users give up at 5 s, workers at 4 s.
READ_TIMEOUT_S: Final = 10.0
# Connections without a whole request that may stay once they are older than the grace time. A
# fleet that reconnects at once is not cut within it.
MAX_OLD_UNFINISHED_CONNECTIONS: Final = 128
NEW_CONNECTION_GRACE_S: Final = 1.0
MAX_CONCURRENT_USER_REQUESTS: Final = 256  # twice what a burst of 1 s brings
SHUTDOWN_GRACE_S: Final = 0.5  # for answers in progress when a server is closed
CONNECTION_CHECK_INTERVAL_S: Final = 0.5  # between two checks of the connections
KEEPALIVE_TIMEOUT_S: Final = 120.0  # of idle connections; workers report every few seconds
# Without an answer of the state service for this long, /up asks the peers.
MAX_STATE_ANSWER_AGE_S: Final = 2.5
# A worker that returns within this window after a redirect could not reach the leader and is
# relayed. One that returns sooner never tried: workers wait for 1 s, less the drift.
MAX_REDIRECT_RETURN_S: Final = 20.0
MIN_REDIRECT_RETURN_S: Final = 0.9
RELAY_PERIOD_S: Final = 40.0  # relayed for this long, a worker tries the leader itself again
# Above the longest hold of a relayed report, RELAYED_IDLE_RESPONSE_HOLD_S plus twice
# COMMITTED_RESPONSE_HOLD_S, and below the 4 s after which workers give up.
RELAYED_REPORT_TIMEOUT_S: Final = 3.4
RELAYED_IDLE_RESPONSE_HOLD_S: Final = 1.2  # how long an idle machine's relayed report is held
# Workers that returned from the leader within the window before all workers are relayed at once.
MIN_RETURNED_WORKERS: Final = 3
RETURNED_WORKERS_WINDOW_S: Final = 6.0

# --- moves of running tasks ---------------------------------------------------
MAX_MOVE_TARGETS_PER_TASK: Final = 12  # target machines tried for each running task
MAX_MOVE_TARGETS: Final = 96  # target machines tried in all, those with least room first
MAX_MOVE_CANDIDATE_HOSTS: Final = 24  # hosts whose tasks are considered, those with most room
MAX_MOVE_SEARCHED_HOSTS: Final = 8  # searched for one large task, the most promising first
MAX_MOVE_SEARCH_STEPS: Final = 1500  # bounds the time of the search for one plan
MOVE_SEARCH_RETRY_INTERVAL_S: Final = 2.0  # between two searches for the same shape of work
MOVE_SEARCH_INTERVAL_S: Final = 1.0  # between two searches for plans
MIN_MOVE_WAIT_S: Final = 5.0  # large work that waited less may soon fit without a move
MAX_CONCURRENT_MOVE_PLANS: Final = 4
MOVE_PLAN_TIMEOUT_S: Final = 60.0  # a plan that takes longer is dropped
MOVE_TARGET_RESERVATION_S: Final = 30.0  # how long a target is reserved for a stopped task
# Added to the times for save, fetch and reports in a plan's expected duration.
MOVE_DURATION_SLACK_S: Final = 2.0
MAX_MOVE_GAIN_S: Final = 600.0  # a longer wait counts as this long

# --- days of the simulated region ---------------------------------------------
MAX_DAY_MACHINES: Final = 10_000  # more take more memory and time than one run should
MAX_DAY_TASKS_PER_JOB: Final = 100_000  # limit of the protocol
MAX_DAY_CLASS_JOBS: Final = 100_000  # jobs of one class
MAX_DAY_FAULT_FLAPS: Final = 1000  # ends of one controller in one fault
# How soon a process that ended is back: range of a fast and of a slow restart.
FAST_RESTART_RANGE_S: Final = (0.05, 0.5)
SLOW_RESTART_RANGE_S: Final = (1.0, 6.0)
