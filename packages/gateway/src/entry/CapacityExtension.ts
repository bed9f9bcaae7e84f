/** Takes the paces of targets from the hub, and lets requests of this entry wait for slots. */
import type { Clock } from '@marigoldbank/base/clock';
import type { HubUpdate } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { fromPaceMessage } from '../sync/pace-codec.js';
import { EntryCapacity } from './EntryCapacity.js';
import { EntryExtension } from './EntryExtension.js';
import type { EntryState } from './EntryState.js';

/** Source of the paces in the table of an entry. */
const HUB = 'hub';

export class CapacityExtension extends EntryExtension {
  private readonly capacity: EntryCapacity;

  public constructor({ clock, state }: { readonly clock: Clock; readonly state: EntryState }) {
    super();
    const { targets, targetFilter, random } = state;
    this.capacity = new EntryCapacity({
      clock,
      targets,
      filter: targetFilter,
      random,
      entryCount: () => state.entryCount,
      isFollowingHub: (now) => state.isFollowingHub(now),
    });
    state.targets.onDidRemove((id) => this.capacity.paces.remove(id));
    Object.assign(state, { capacity: this.capacity });
  }

  public override apply(update: HubUpdate, isFirst: boolean, now: number): void {
    const { paces } = this.capacity;
    if (isFirst) paces.forgetTold();
    update.paces.forEach((pace) => paces.note(HUB, fromPaceMessage(pace), now));
    // The update may have named free slots.
    this.capacity.update();
  }
}
