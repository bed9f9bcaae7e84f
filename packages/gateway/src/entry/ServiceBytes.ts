/** Requests of an entry and their bytes by service, for the price of traffic between data centres. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { ServiceTrafficSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';

interface Counts {
  requests: number;
  bytes: number;
}

export class ServiceBytes {
  private readonly counts = new Map<string, Counts>();

  /** Counts a request with a body of this size. */
  public countRequest(service: string, bytes: number): void {
    this.add(service, 1, bytes);
  }

  public countAnswer(service: string, bytes: number): void {
    this.add(service, 0, bytes);
  }

  /** Empties the counts. */
  public take(): MessageInitShape<typeof ServiceTrafficSchema>[] {
    const taken = [...this.counts].map(([service, counts]) => ({ service, ...counts }));
    this.counts.clear();
    return taken;
  }

  private add(service: string, requests: number, bytes: number): void {
    const known = this.counts.get(service) ?? { requests: 0, bytes: 0 };
    this.counts.set(service, { requests: known.requests + requests, bytes: known.bytes + bytes });
  }
}
