/** Latencies that a process measures. */
export enum LatencyName {
  /** From the start of a request until its first token. */
  FIRST_TOKEN = 'first_token_seconds',
  /** Between two successive messages with tokens of a running attempt. */
  TOKEN_GAP = 'token_gap_seconds',
  /** From the last token of a lost attempt until the first that follows it. */
  RESUME = 'resume_seconds',
  /** From the last token until the loss was detected. */
  RESUME_DETECTION = 'resume_detection_seconds',
  /** From the detection until another target was selected. */
  RESUME_PLACEMENT = 'resume_placement_seconds',
  /** From the selection until the first token of that target. */
  RESUME_FIRST_TOKEN = 'resume_first_token_seconds',
  /** Duration of the write that creates the claim of a booking. */
  BOOKING_CLAIM = 'booking_claim_seconds',
  /** From the receipt of a call to a plain service until its response. */
  PLAIN_CALL = 'plain_call_seconds',
  /** From the first look for room at an engine until the wait for it ended. */
  ROOM_WAIT = 'room_wait_seconds',
  /** From the last event of a lost target to the first of its replacement. */
  STREAM_RESUME = 'stream_resume_seconds',
}

/** Counters other than those of refusals and retries. */
export enum CounterName {
  /** Closed connections between processes, by `TransportErrorKind`. */
  CONNECTIONS_CLOSED = 'connections_closed_total',
  TOKENS_RELAYED = 'tokens_relayed_total',
  /** Messages with tokens that were ignored, such as those already received. */
  TOKENS_DROPPED = 'tokens_dropped_total',
  ATTEMPTS_STARTED = 'attempts_started_total',
  /** Attempts that were cancelled because no entry read their output. */
  ATTEMPTS_ORPHANED = 'attempts_orphaned_total',
  /** Calls to the object store, by operation. */
  STORE_CALLS = 'store_calls_total',
  /** Waits for changes that another entry was asked to answer, by outcome. */
  RELAYED_READS = 'relayed_reads_total',
  /** Failed calls to the object store, by `StoreErrorKind`. */
  STORE_ERRORS = 'store_errors_total',
  /** Questions for permits to send to targets that name a limit, by answer. */
  LIMIT_PERMITS = 'limit_permits_total',
  /** Room asked for at engines, by what became of it. */
  ROOM_RESERVATIONS = 'room_reservations_total',
  /** Generations that waited for room, by how their wait ended. */
  ROOM_WAITS = 'room_waits_total',
  /** Plain calls that waited for room at their targets, by outcome. */
  QUEUED_CALLS = 'queued_calls_total',
  /** Targets that were suspected because their agents were silent. */
  TARGETS_SUSPECTED = 'targets_suspected_total',
  /** Prompt tokens that were read for nothing, by `RereadCause`. */
  TOKENS_REREAD = 'prompt_tokens_reread_total',
  REQUESTS = 'requests_total',
  HEARTBEATS = 'heartbeats_total',
  PEER_BYTES = 'peer_bytes_total',
  /** Refused bookings, by the evidence on whether they ran. */
  BOOKING_EVIDENCE = 'booking_evidence_total',
  /** Outcomes of bookings that were written to the store. */
  OUTCOMES_RECORDED = 'outcomes_recorded_total',
  /** Outcomes that were too large or too many, or rejected by the store. */
  OUTCOMES_DROPPED = 'outcomes_dropped_total',
  CONFIG_CHANGES = 'config_changes_total',
  /** Targets lost while they ran requests, by cause. */
  TARGET_LOSSES = 'target_losses_total',
  /** Requests during a roll-out, by version and outcome. */
  ROLLOUT_REQUESTS = 'rollout_requests_total',
  /** Steps and ends of roll-outs at this entry, by name. */
  ROLLOUT_STEPS = 'rollout_steps_total',
  /** Times at which evidence of a roll-out became too old, by cause. */
  ROLLOUT_OLD_EVIDENCE = 'rollout_old_evidence_total',
  /** Connections of clients that a bound has closed, by `CloseReason`. */
  CLIENT_CONNECTIONS_CLOSED = 'client_connections_closed_total',
  /** Log lines, or batches of them, that were not written. */
  LOG_LINES_DROPPED = 'log_lines_dropped_total',
  /** Exceptions that ended a request or a background task, by `TaskName`. */
  TASK_FAILURES = 'task_failures_total',
}
