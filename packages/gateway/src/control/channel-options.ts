/** Channels between the processes of control VMs. */
import type { ChannelOptions } from '@marigoldbank/daemon/transport/Channels';
import { INTERNAL_SECRET } from '../settings.js';

/**
 * Compression runs beside the event loop, so that a compressed message takes three to four turns of it for one. On a busy VM a
 * change of the configuration, some 30 kB, waits longer for them than for its bytes.
 */
const COMPRESS_MIN_BYTES = 65_536;

/** To the log processes of other VMs. */
export const LOG_CHANNELS: ChannelOptions = {
  secret: INTERNAL_SECRET,
  outgoingAddress: undefined,
  compressMinBytes: COMPRESS_MIN_BYTES,
};

/** From a hub to the log process of its own VM, where compression saves nothing. */
export const LOCAL_CHANNELS: ChannelOptions = { ...LOG_CHANNELS, acceptsCompression: false };
