/**
 * The configuration in force at this process.
 */
import type {Configuration} from '@filbertwell/types/configuration';
import type {Observable} from 'rxjs';
import type {Head} from './head.js';

/** Follows the accepted configuration; the version in force only rises. */
export type ConfigurationFollower = {
	/** The configuration in force; `undefined` before the first. */
	readonly current: () => Configuration | undefined;
	/** Emits the one in force on subscription, if there is one, and each later one. */
	readonly inForce: Observable<Configuration>;
	/** Head of the configuration in force, for peers. */
	readonly head: () => Head | undefined;
	/** A part of the configuration in force by its content hash, for peers. */
	readonly part: (hash: string) => string | undefined;
	/**
	 * Takes a head that was just accepted, with some of its parts, from an operator's desk or a
	 * peer, so that it spreads even if the platform goes down right after the acceptance.
	 * `head` is as `formatHead` prints it. Returns whether it is well formed and higher than the
	 * version in force; it is put in force soon after.
	 */
	readonly offer: (head: string, parts: readonly string[]) => boolean;
	readonly stop: () => Promise<void>;
};
