/**
 * Caps of the links between regions: one token bucket for each direction of each pair, in
 * bytes, filled at this entry's even part of the cap, since the entries do not talk before each
 * request. All bytes are counted, answers included, as they pass; a bucket may go into debt,
 * since the size of an answer is not known before, and while in debt nothing new is sent over
 * that link. A pair without a cap is not limited.
 */
import type {LinkCap} from '@filbertwell/types/intent';
import type {Clock} from '@filbertwell/utils/clock';
import {type TokenBucket, createTokenBucket} from '@filbertwell/utils/tokenBucket';

/** Caps of the links from this entry's region. */
export type LinkCaps = {
	readonly configure: (caps: readonly LinkCap[], entriesInRegion: (region: string) => number) => void;
	/** Whether a request may now be sent to another region. */
	readonly mayUse: (region: string) => boolean;
	/** Counts bytes to and from another region. */
	readonly count: (region: string, sent: number, received: number) => void;
};

type Link = {
	readonly sent: TokenBucket;
	readonly received: TokenBucket;
};

const bytesPerMegabit = 125_000;
const burstSeconds = 0.5;

/**
 * Creates caps.
 *
 * @param clock - Monotonic milliseconds.
 * @param ownRegion - Region of this entry.
 * @returns Caps, with no link limited before `configure`.
 */
export const createLinkCaps = (clock: Clock, ownRegion: string): LinkCaps => {
	const links = new Map<string, Link>();
	return {
		configure(caps, entriesInRegion) {
			const named = new Set<string>();
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
				named.add(other);
			}

			for (const region of links.keys()) {
				if (!named.has(region)) {
					links.delete(region);
				}
			}
		},
		mayUse(region) {
			const link = links.get(region);
			return link === undefined || (link.sent.level() > 0 && link.received.level() > 0);
		},
		count(region, sent, received) {
			const link = links.get(region);
			link?.sent.takeDebt(sent);
			link?.received.takeDebt(received);
		},
	};
};
