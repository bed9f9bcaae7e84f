/** Shares of the requests of an entry that go to other data centres, as its hub decided last. They stay in force without one. */

export interface DestinationShare {
  readonly dataCentre: string;
  /** In [0, 1]. */
  readonly share: number;
}

export class PlacementShares {
  private readonly byService = new Map<string, readonly DestinationShare[]>();

  /** Replaces the shares of a service. Without any, its requests stay in the data centre of the entry. */
  public set(service: string, shares: readonly DestinationShare[]): void {
    this.byService.set(
      service,
      shares.filter(({ share }) => share > 0),
    );
  }

  /** Shares of a service, undefined if no hub has decided on it yet. */
  public sharesOf(service: string): readonly DestinationShare[] | undefined {
    return this.byService.get(service);
  }

  /** The data centre for a uniform random number in [0, 1), undefined for the own one. */
  public draw(service: string, at: number): string | undefined {
    let end = 0;
    return this.byService.get(service)?.find(({ share }) => {
      end += share;
      return at < end;
    })?.dataCentre;
  }
}
