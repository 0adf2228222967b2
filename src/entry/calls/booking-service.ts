/** Serves bookings: calls that are claimed in the object store, then sent. */
import {ResultAsync} from 'neverthrow';

import type {PlainResponse} from '../../core/edges/index.js';
import type {Refusal} from '../../core/errors/index.js';
import type {BookingDeps} from './booking-run.js';
import {BookingRun} from './booking-run.js';
import type {ResolvedPlain} from './plain-request.js';

/** Runs each booking at most once and returns its outcome to all retries. */
export class BookingService {
  constructor(private readonly options: BookingDeps) {}

  call(request: ResolvedPlain): ResultAsync<PlainResponse, Refusal> {
    return new ResultAsync(new BookingRun(request, this.options).run());
  }
}
