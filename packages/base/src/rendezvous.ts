/** Rendezvous (highest random weight) hashing over VMs. */
import murmurhash from 'murmurhash';

/** A VM that can be ranked. */
export interface RankedVm {
  readonly vm: string;
  readonly dataCentre: string;
}

interface Weighted<T> {
  readonly node: T;
  readonly weight: number;
}

function withWeight<T extends RankedVm>(key: string, node: T): Weighted<T> {
  return { node, weight: murmurhash.v3(`${key}\u0000${node.vm}`) };
}

function compareWeighted<T extends RankedVm>(a: Weighted<T>, b: Weighted<T>): number {
  if (a.weight !== b.weight) return b.weight - a.weight;
  return a.node.vm < b.node.vm ? -1 : 1;
}

/** Ranks VMs for a key. Adding or removing one VM moves only the keys that it ranks first for. */
export function rankVms<T extends RankedVm>(key: string, vms: readonly T[]): T[] {
  return vms
    .map((node) => withWeight(key, node))
    .sort(compareWeighted)
    .map((weighted) => weighted.node);
}

/** Ranks VMs for a key so that consecutive ranks alternate over the data centres. */
export function rankAcrossDataCentres<T extends RankedVm>(key: string, vms: readonly T[]): T[] {
  const seen = new Map<string, number>();
  return rankVms(key, vms)
    .map((node, rank) => {
      const round = seen.get(node.dataCentre) ?? 0;
      seen.set(node.dataCentre, round + 1);
      return { node, round, rank };
    })
    .sort((a, b) => a.round - b.round || a.rank - b.rank)
    .map((item) => item.node);
}

/** The first VM of each data centre in the ranking for a key. */
export function firstOfEachDataCentre<T extends RankedVm>(key: string, vms: readonly T[]): T[] {
  const ranked = rankVms(key, vms);
  return ranked.filter(
    (node, i) => ranked.findIndex((other) => other.dataCentre === node.dataCentre) === i,
  );
}
