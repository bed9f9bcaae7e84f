/** Counts requests and bytes between an entry and targets of other data centres. Heads are not counted. */
import { crossBytesTotal, crossRequestsTotal } from '../metrics.js';
import type { UpstreamResponse } from './run-types.js';

/** Announced length of an answer, or what has arrived of it. */
export function answerBytes({ headers, body }: Pick<UpstreamResponse, 'headers' | 'body'>): number {
  const announced = Number(headers['content-length'] ?? NaN);
  const arrived = body.reduce((sum, part) => sum + part.length, 0);
  return Number.isSafeInteger(announced) && announced >= 0 ? announced : arrived;
}

export class CrossTraffic {
  public constructor(private readonly dataCentre: string) {}

  /** Counts an attempt with a request body of this size. */
  public countRequest(service: string, to: string, bytes: number): void {
    if (to === this.dataCentre) return;
    crossRequestsTotal.inc({ service });
    crossBytesTotal.inc({ service, direction: 'sent' }, bytes);
  }

  public countAnswer(response: UpstreamResponse): void {
    const { service, dataCentre } = response.target.info;
    if (dataCentre === this.dataCentre) return;
    crossBytesTotal.inc({ service, direction: 'received' }, answerBytes(response));
  }
}
