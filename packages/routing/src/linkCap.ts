/**
 * Bandwidth caps of the links between regions: for each pair, one token bucket in bytes for each
 * direction. Each bucket is filled at this entry's equal share of the cap, since entries do not
 * coordinate for each request. All bytes count as they are transferred, including answers. A bucket
 * may go into debt, since the size of an answer is not known in advance; while it is in debt, no
 * new request is sent over the link. A pair without a cap is not limited.
 */
import type {LinkCap} from '@filbertwell/types/intent';
import type {Clock} from '@filbertwell/utils/clock';
import {type TokenBucket, createTokenBucket} from '@filbertwell/utils/tokenBucket';

/** Caps of the links from this entry's region. */
export type LinkCaps = {
	/** Sets the caps. A cap is divided evenly among the entries of its two regions, which `entriesInRegion` counts. */
	readonly configure: (caps: readonly LinkCap[], entriesInRegion: (region: string) => number) => void;
	/** Whether the cap allows a new request to a region now. */
	readonly allowsRequests: (region: string) => boolean;
	/** Records bytes sent to and received from a region. */
	readonly recordBytes: (region: string, sent: number, received: number) => void;
};

type LinkBuckets = {
	readonly sent: TokenBucket;
	readonly received: TokenBucket;
};

const bytesPerMegabit = 125_000;
/** Burst of a bucket, in seconds of its rate. */
const burstSeconds = 0.5;

/**
 * Creates the link caps of an entry.
 *
 * @param clock - Monotonic clock, in milliseconds.
 * @param ownRegion - Region of this entry.
 * @returns The caps; no link is limited before `configure`.
 */
export const createLinkCaps = (clock: Clock, ownRegion: string): LinkCaps => {
	const links = new Map<string, LinkBuckets>();
	return {
		configure(caps, entriesInRegion) {
			const cappedRegions = new Set<string>();
			for (const {between, megabitsPerSecond} of caps) {
				const other = between.find(region => region !== ownRegion);
				if (other === undefined || !between.includes(ownRegion)) {
					continue;
				}

				const entries = Math.max(1, entriesInRegion(ownRegion) + entriesInRegion(other));
				const tokensPerSecond = megabitsPerSecond * bytesPerMegabit / entries;
				const rate = {tokensPerSecond, burst: tokensPerSecond * burstSeconds};
				const link = links.get(other);
				link?.sent.configure(rate);
				link?.received.configure(rate);
				links.set(other, link ?? {sent: createTokenBucket(clock, rate), received: createTokenBucket(clock, rate)});
				cappedRegions.add(other);
			}

			for (const region of links.keys()) {
				if (!cappedRegions.has(region)) {
					links.delete(region);
				}
			}
		},
		allowsRequests(region) {
			const link = links.get(region);
			return link === undefined || (link.sent.level() > 0 && link.received.level() > 0);
		},
		recordBytes(region, sent, received) {
			const link = links.get(region);
			link?.sent.forceTake(sent);
			link?.received.forceTake(received);
		},
	};
};
