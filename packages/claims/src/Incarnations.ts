/** Newest known incarnation of each VM. */
import type { HolderIncarnation } from './types.js';

export class Incarnations {
  private readonly newest = new Map<string, number>();

  public observe(vm: string, incarnation: number): void {
    if (incarnation > this.get(vm)) this.newest.set(vm, incarnation);
  }

  public merge(incarnations: readonly HolderIncarnation[]): void {
    incarnations.forEach(({ vm, incarnation }) => this.observe(vm, incarnation));
  }

  public get(vm: string): number {
    return this.newest.get(vm) ?? -Infinity;
  }

  public isOutdated(vm: string, incarnation: number): boolean {
    return incarnation < this.get(vm);
  }

  public listAll(): HolderIncarnation[] {
    return this.list([...this.newest.keys()]);
  }

  /** The known incarnations of the given VMs. */
  public list(vms: readonly string[]): HolderIncarnation[] {
    return vms.filter((vm) => this.newest.has(vm)).map((vm) => ({ vm, incarnation: this.get(vm) }));
  }
}
