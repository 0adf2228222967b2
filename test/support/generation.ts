/** Runs generations through a driver and collects their tokens. */
import type {
  DriverError,
  EngineDriver,
  FinishReason,
  GenerationSpec,
  Token,
} from '../../src/core/edges/index.js';

/** Result of one generation. */
export interface GenerationResult {
  readonly tokens: Token[];
  readonly finishReason?: FinishReason;
  readonly err?: DriverError;
}

/** A generation request with defaults for missing fields. */
export function createSpec(fields: Partial<GenerationSpec>): GenerationSpec {
  return {
    model: 'm',
    prompt: 'Draft a pallet quote',
    maxTokens: 40,
    stop: [],
    temperature: 0,
    priority: 0,
    ...fields,
  };
}

/** Runs a generation to its end; rejects if token positions have a gap. */
export function generate(options: {
  driver: EngineDriver;
  spec: GenerationSpec;
  requestId?: string;
  resumeFrom?: readonly Token[];
}): Promise<GenerationResult> {
  const {driver, spec, requestId = 'r', resumeFrom = []} = options;
  const tokens = [...resumeFrom];
  return new Promise((resolve, reject) => {
    const sink = {
      onTokens: (batch: {position: number; tokens: readonly Token[]}) => {
        if (batch.position !== tokens.length)
          reject(new Error('gap in token positions'));
        tokens.push(...batch.tokens);
      },
      onFinish: (finishReason: FinishReason) => resolve({tokens, finishReason}),
      onFailure: (err: DriverError) => resolve({tokens, err}),
    };
    driver.generate({requestId, spec, resumeFrom, sink});
  });
}
