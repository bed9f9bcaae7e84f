/** Exit codes of the command line, for scripts. */

export const EXIT_CODES = {
  /** Done; a change is in force on every entry. */
  inForce: 0,
  /** Internal error of the command line. */
  internal: 1,
  /** Wrong arguments or settings. */
  usage: 2,
  /** The lists or another input file have errors. */
  invalid: 3,
  /** A change is recorded, but was not in force at a majority of the entries within the timeout. */
  notAccepted: 4,
  /** A change is accepted, but was not in force on every entry within the timeout. */
  notEverywhere: 5,
  /** The lists were changed since the revision that the change is based on. */
  conflict: 6,
  /** Control refused the change. */
  rejected: 7,
  /** No control VM answered as leader; nothing was changed. */
  unreachable: 8,
  /** A change was sent and its outcome is unknown. Send it again with the same change id. */
  unknownOutcome: 9,
  /** The audit trail does not match its hashes. */
  auditBroken: 10,
  /** The operator secret is missing or wrong. */
  unauthenticated: 11,
} as const;

export type Outcome = keyof typeof EXIT_CODES;

/** One line for each outcome, for the help text and the documentation. */
export const OUTCOME_TEXTS: Record<Outcome, string> = {
  inForce: 'done; a change is in force on every entry',
  internal: 'fault of this program',
  usage: 'wrong arguments or settings',
  invalid: 'the lists or another input file have errors',
  notAccepted: 'recorded, not yet accepted by a majority of the entries',
  notEverywhere: 'accepted, not yet in force on every entry',
  conflict: 'the lists were changed since the base revision',
  rejected: 'control refused the change',
  unreachable: 'no control VM answered as leader; nothing was changed',
  unknownOutcome: 'sent, outcome unknown; send it again with the same change id',
  auditBroken: 'the audit trail does not match its hashes',
  unauthenticated: 'the operator secret is wrong',
};
