/**
 * Determines the order in which peers are probed.
 */
import type {Random} from '@filbertwell/utils/random';

/** Selects peers so that each is probed once in a pass over all of them. */
export type ProbeOrder = {
	/** Returns the next peer of the pass that is still in `ids`; `undefined` if none is left in the pass. */
	readonly next: (ids: ReadonlyMap<string, unknown>) => string | undefined;
	/** Returns up to `size` distinct random peers. */
	readonly sample: (ids: ReadonlyMap<string, unknown>, size: number) => readonly string[];
};

const shuffle = (items: string[], random: Random): string[] => {
	for (let last = items.length - 1; last > 0; last--) {
		const other = Math.floor(random() * (last + 1));
		[items[last], items[other]] = [items[other]!, items[last]!];
	}

	return items;
};

/**
 * Creates an order that shuffles the peers for each pass.
 *
 * @param random - Source of randomness.
 * @returns The probe order.
 */
export const createProbeOrder = (random: Random): ProbeOrder => {
	let pass: string[] = [];
	return {
		next(ids) {
			if (pass.length === 0) {
				pass = shuffle([...ids.keys()], random);
			}

			let id = pass.pop();
			while (id !== undefined && !ids.has(id)) {
				id = pass.pop();
			}

			return id;
		},
		sample(ids, size) {
			const all = [...ids.keys()];
			const chosen: string[] = [];
			while (chosen.length < size && all.length > 0) {
				const [id] = all.splice(Math.floor(random() * all.length), 1);
				chosen.push(id!);
			}

			return chosen;
		},
	};
};
