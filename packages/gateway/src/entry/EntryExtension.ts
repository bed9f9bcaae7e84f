/** A part of an entry that exchanges state of its own with the hub. */
import type { HubUpdate } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { EntryReportInit } from './HubReporter.js';

/** Fields of a report, as an extension adds them. */
export type ReportFields = Exclude<EntryReportInit, { readonly $typeName: string }>;

export abstract class EntryExtension {
  /** Called when reports go to a new hub. */
  public attached?(): void;

  /** Takes what the next report says, in fields that no other part sets. */
  public takeReport?(): ReportFields;

  /** Applies an update of the hub. `isFirst` marks the first one of a stream. Times are monotonic ms. */
  public apply?(update: HubUpdate, isFirst: boolean, now: number): void;
}

/** What all extensions add to the next report. */
export function takeReportFields(extensions: readonly EntryExtension[]): ReportFields {
  return extensions.reduce<ReportFields>((all, part) => ({ ...all, ...part.takeReport?.() }), {});
}
