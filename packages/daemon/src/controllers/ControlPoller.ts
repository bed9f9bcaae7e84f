/** Finds the control leader and polls it. */
import type { ConfigClient, ControlAnswer, ControlPoll } from '../transport/ConfigClient.js';

type ConfirmedAnswer = Extract<ControlAnswer, { kind: 'confirmed' }>;

/** Addresses tried in one poll: the believed leader, its hint, and one more. */
const MAX_ATTEMPTS = 3;

export class ControlPoller {
  private leader: string | undefined;

  private next = 0;

  public constructor(
    private readonly client: ConfigClient,
    private readonly addresses: readonly string[],
  ) {}

  /** The confirmed answer of the leader, or undefined if none was found in this poll. */
  public async poll(message: ControlPoll): Promise<ConfirmedAnswer | undefined> {
    let address = this.leader ?? this.nextAddress();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const answer = await this.tryPoll(address, message);
      if (answer?.kind === 'confirmed') {
        this.leader = address;
        return answer;
      }
      this.leader = undefined;
      // A VM that does not answer uses up the time of this poll; the next one asks another.
      if (answer === undefined) return undefined;
      address = answer.leaderAddress ?? this.nextAddress();
    }
    return undefined;
  }

  private async tryPoll(address: string, message: ControlPoll): Promise<ControlAnswer | undefined> {
    try {
      return await this.client.poll(address, message);
    } catch {
      return undefined;
    }
  }

  private nextAddress(): string {
    const address = this.addresses[this.next % this.addresses.length]!;
    this.next += 1;
    return address;
  }
}
