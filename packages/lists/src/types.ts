/** Types shared by the modules of this package. */

/** One effect of a change of the lists. */
export interface Difference {
  readonly subject: 'team' | 'key' | 'plan' | 'route' | 'service';
  /** Whether callers lose something that worked before. */
  readonly isLoss: boolean;
  readonly text: string;
}
