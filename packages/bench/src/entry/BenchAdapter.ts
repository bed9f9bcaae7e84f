/** Protocol of the measured entry. Only its headers are used, since an entry parses no operator calls. */
import {
  ProtocolAdapter,
  type ControlCall,
  type HeaderNames,
  type ParsedPlan,
} from '@marigoldbank/gateway/ProtocolAdapter';

export class BenchAdapter extends ProtocolAdapter {
  public readonly headers: HeaderNames = {
    requestId: 'x-request-id',
    deadlineMs: 'x-deadline-ms',
    seal: 'x-seal',
    team: 'x-team',
    expectedTarget: 'x-expected-target',
    notRun: 'x-not-run',
    rateLimit: 'x-rate-limit',
    leaving: 'x-leaving',
    key: 'x-key',
  };

  public readonly readyPath = '/ready';

  public override parseControlCall(): ControlCall {
    return { kind: 'unknown' };
  }

  public override parseAnnouncement(): undefined {
    return undefined;
  }

  public override formatAnnouncementAnswer(): string {
    return '{}';
  }

  public override parseLeaveNotice(): number {
    return 0;
  }

  public override parsePlan(): ParsedPlan {
    return { kind: 'invalid', problems: ['an entry parses no plans'] };
  }

  public override parseAddressLookup(): undefined {
    return undefined;
  }

  public override formatAddresses(addresses: readonly string[]): string {
    return JSON.stringify(addresses);
  }
}
