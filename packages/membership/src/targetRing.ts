/**
 * The order in which peers are probed.
 */
import type {Random} from '@filbertwell/utils/random';

/** Chooses peers so that each is probed once in a pass over all of them. */
export type TargetRing = {
	/** The next peer of the pass, of those given. */
	readonly next: (ids: ReadonlyMap<string, unknown>) => string | undefined;
	/** Distinct peers at random. */
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
 * Creates a ring.
 *
 * @param random - Source of the order.
 * @returns The ring.
 */
export const createTargetRing = (random: Random): TargetRing => {
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
