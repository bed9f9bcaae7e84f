/** Error for durable state that cannot be used. */

/** What is wrong with the durable state. */
export type StorageProblem =
  /** A checksum or the structure of a file is wrong at a place that a torn last write cannot explain. */
  | { readonly kind: 'damagedFile'; readonly file: string; readonly offset: number }
  /** A file that every initialised folder has is absent. */
  | { readonly kind: 'missingFile'; readonly file: string }
  /** The log does not continue where the snapshot or the previous record ends. */
  | {
      readonly kind: 'missingEntries';
      readonly file: string;
      readonly expectedIndex: number;
      readonly foundIndex: number;
    };

function describeProblem(problem: StorageProblem): string {
  switch (problem.kind) {
    case 'damagedFile':
      return `${problem.file} is damaged at offset ${problem.offset}`;
    case 'missingFile':
      return `${problem.file} is missing in an initialised data folder`;
    default:
      return `${problem.file} lacks entries: expected index ${problem.expectedIndex}, found ${problem.foundIndex}`;
  }
}

/** The durable state cannot be used. The member must not start with it; replace it as a learner. */
export class StorageError extends Error {
  public constructor(
    public readonly problem: StorageProblem,
    cause?: unknown,
  ) {
    super(describeProblem(problem), { cause });
    this.name = 'StorageError';
  }

  public get kind(): StorageProblem['kind'] {
    return this.problem.kind;
  }
}
