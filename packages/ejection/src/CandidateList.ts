/** Candidates that may accept another request. */
import type { TargetState } from './TargetState.js';

/** Unordered list with addition, removal and access by position in constant time. */
export class CandidateList {
  private readonly items: TargetState[] = [];

  public get size(): number {
    return this.items.length;
  }

  public at(position: number): TargetState {
    return this.items[position]!;
  }

  public add(state: TargetState): void {
    if (state.candidateIndex >= 0) return;
    state.setCandidateIndex(this.items.push(state) - 1);
  }

  public remove(state: TargetState): void {
    const position = state.candidateIndex;
    if (position < 0) return;
    const last = this.items.pop()!;
    if (last !== state) {
      this.items[position] = last;
      last.setCandidateIndex(position);
    }
    state.setCandidateIndex(-1);
  }

  public clear(): void {
    this.items.forEach((state) => state.setCandidateIndex(-1));
    this.items.length = 0;
  }
}
