/** Reference model for tests of the fair queue. */

/** Sorts all waiting requests by the start tag of their team at each step. Simple, but slow. */
export class ModelQueue {
  private readonly tags = new Map<string, number>();

  private virtualTime = 0;

  private waiting: { id: string; team: string; order: number }[] = [];

  private readonly teamOrder = new Map<string, number>();

  private order = 0;

  public add(id: string, team: string): void {
    this.order += 1;
    const isBacklogged = this.waiting.some((other) => other.team === team);
    if (!isBacklogged) {
      this.tags.set(team, Math.max(this.virtualTime, this.tags.get(team) ?? 0));
      this.teamOrder.set(team, this.order);
    }
    this.waiting.push({ id, team, order: this.order });
  }

  public remove(id: string): void {
    this.waiting = this.waiting.filter((other) => other.id !== id);
  }

  public serve(): string | undefined {
    const [first] = [...this.waiting].sort(
      (a, b) =>
        this.tags.get(a.team)! - this.tags.get(b.team)! ||
        this.teamOrder.get(a.team)! - this.teamOrder.get(b.team)! ||
        a.order - b.order,
    );
    if (first === undefined) return undefined;
    this.virtualTime = Math.max(this.virtualTime, this.tags.get(first.team)!);
    this.tags.set(first.team, this.tags.get(first.team)! + 1);
    this.remove(first.id);
    return first.id;
  }
}
