/** A hub as announced to entries, which may follow it. */
export interface HubCandidate {
  readonly address: string;
  /** Empty if unknown. */
  readonly dataCentre: string;
  /** Number of entries that follow the hub. */
  readonly entries: number;
  /** Whether the announcing hub gets no messages from it at present. */
  readonly isSilent: boolean;
  /** Whether its state was not confirmed recently, as far as the announcing hub knows. */
  readonly isLate: boolean;
}
