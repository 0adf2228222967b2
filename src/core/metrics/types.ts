/** Latencies that a process measures. */
export enum LatencyName {
  FIRST_TOKEN = 'first_token_seconds',
  TOKEN_GAP = 'token_gap_seconds',
  RESUME = 'resume_seconds',
  /** From the last token until the loss was detected. */
  RESUME_DETECTION = 'resume_detection_seconds',
  /** From the detection until another target was selected. */
  RESUME_PLACEMENT = 'resume_placement_seconds',
  /** From the selection until the first token of that target. */
  RESUME_FIRST_TOKEN = 'resume_first_token_seconds',
  BOOKING_CLAIM = 'booking_claim_seconds',
  PLAIN_CALL = 'plain_call_seconds',
  /** From the last event of a lost target to the first of its replacement. */
  STREAM_RESUME = 'stream_resume_seconds',
}

/** Counters other than those of refusals and retries. */
export enum CounterName {
  CONNECTIONS_CLOSED = 'connections_closed_total',
  TOKENS_RELAYED = 'tokens_relayed_total',
  TOKENS_DROPPED = 'tokens_dropped_total',
  ATTEMPTS_STARTED = 'attempts_started_total',
  ATTEMPTS_ORPHANED = 'attempts_orphaned_total',
  STORE_CALLS = 'store_calls_total',
  STORE_ERRORS = 'store_errors_total',
  TARGETS_SUSPECTED = 'targets_suspected_total',
  REQUESTS = 'requests_total',
  HEARTBEATS = 'heartbeats_total',
  PEER_BYTES = 'peer_bytes_total',
  BOOKING_EVIDENCE = 'booking_evidence_total',
  OUTCOMES_RECORDED = 'outcomes_recorded_total',
  OUTCOMES_DROPPED = 'outcomes_dropped_total',
  CONFIG_CHANGES = 'config_changes_total',
  /** Targets lost while they ran requests, by cause. */
  TARGET_LOSSES = 'target_losses_total',
  LOG_LINES_DROPPED = 'log_lines_dropped_total',
}
