/** Finds the leader of the control VMs and polls it. */
import type { ConfigClient, ControlAnswer, ControlPoll } from '../transport/ConfigClient.js';

type ConfirmedAnswer = Extract<ControlAnswer, { kind: 'confirmed' }>;

/** Addresses tried per poll: the last known leader, the leader that it names, and one more. */
const MAX_ATTEMPTS = 3;

export class ControlPoller {
  private leader: string | undefined;

  private nextIndex = 0;

  public constructor(
    private readonly client: ConfigClient,
    private readonly addresses: readonly string[],
  ) {}

  /** Resolves to the leader's confirmed answer, or to undefined if this poll did not reach the leader. */
  public async poll(message: ControlPoll): Promise<ConfirmedAnswer | undefined> {
    let address = this.leader ?? this.nextAddress();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const answer = await this.tryPoll(address, message);
      if (answer?.kind === 'confirmed') {
        this.leader = address;
        return answer;
      }
      this.leader = undefined;
      // Waiting for a VM that does not answer used up the time of this poll; the next poll tries another address.
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
    const address = this.addresses[this.nextIndex % this.addresses.length]!;
    this.nextIndex += 1;
    return address;
  }
}
