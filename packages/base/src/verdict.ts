/** Verdicts on whether a request may have run at an upstream. */

/**
 * - `notRun`: no byte of the request reached an upstream's handler, so a retry cannot run it twice.
 * - `mayHaveRun`: the request was sent and its outcome is unknown.
 * - `ran`: an upstream answered it.
 */
export type Verdict = 'notRun' | 'mayHaveRun' | 'ran';

/** The verdict as written in problem details: `not-run`, `may-have-run` or `ran`. */
export type WireVerdict = 'not-run' | 'may-have-run' | 'ran';

const WIRE_VERDICTS: Record<Verdict, WireVerdict> = {
  notRun: 'not-run',
  mayHaveRun: 'may-have-run',
  ran: 'ran',
};

/** Converts a verdict to its wire form. */
export function toWireVerdict(verdict: Verdict): WireVerdict {
  return WIRE_VERDICTS[verdict];
}
