/** Counts requests and bytes between an entry and targets of other data centres. Heads are not counted. */
import { crossBytesTotal, crossRequestsTotal } from '../metrics.js';
import type { UpstreamResponse } from './run-types.js';

export class CrossTraffic {
  public constructor(private readonly dataCentre: string) {}

  /** Counts an attempt with a request body of this size. */
  public countRequest(service: string, to: string, bytes: number): void {
    if (to === this.dataCentre) return;
    crossRequestsTotal.inc({ service });
    crossBytesTotal.inc({ service, direction: 'sent' }, bytes);
  }

  /** Counts an answer by its announced length, or by what has arrived of it. */
  public countAnswer({ target, headers, body }: UpstreamResponse): void {
    const { service, dataCentre } = target.info;
    if (dataCentre === this.dataCentre) return;
    const announced = Number(headers['content-length'] ?? NaN);
    const arrived = body.reduce((sum, part) => sum + part.length, 0);
    const bytes = Number.isSafeInteger(announced) && announced >= 0 ? announced : arrived;
    crossBytesTotal.inc({ service, direction: 'received' }, bytes);
  }
}
