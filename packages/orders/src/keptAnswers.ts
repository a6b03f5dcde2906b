/**
 * Keeping answers for resends: small ones in the row, large ones in the object store.
 */
import type {ObjectStore} from '@filbertwell/platform/objectStore';
import {contentHash} from '@filbertwell/utils/hash';
import type {OrderLimits} from './orderLimits.js';
import {orderObjectPrefix, type KeptPart} from './orderRow.js';
import type {KeptAnswer} from './orders.js';

/** Keeps and restores answers. */
export type KeptAnswers = {
	readonly keep: (token: string, answer: KeptAnswer) => Promise<KeptPart>;
	/** Restores an answer; `undefined` where it was not kept whole or cannot be read now. */
	readonly restore: (kept: KeptPart) => Promise<KeptAnswer | undefined>;
};

/**
 * Creates the functions that keep answers.
 *
 * @param objects - Object store; without one, large answers are kept as status and hash.
 * @param limits - Sizes.
 * @returns The functions.
 */
export const createKeptAnswers = (objects: ObjectStore | undefined, limits: OrderLimits): KeptAnswers => {
	const summary = (answer: KeptAnswer): KeptPart => ({kind: 'summary', status: answer.status, bodyHash: contentHash(answer.body)});

	return {
		async keep(token, answer) {
			if (answer.body.length <= limits.maximumRowAnswerLength) {
				return {kind: 'whole', answer};
			}

			if (objects === undefined || answer.body.length > limits.maximumKeptAnswerLength) {
				return summary(answer);
			}

			const objectKey = `${orderObjectPrefix}${contentHash(token)}`;
			const put = await objects.put(objectKey, JSON.stringify(answer));
			return put.isOk() ? {kind: 'object', objectKey, status: answer.status} : summary(answer);
		},
		async restore(kept) {
			if (kept.kind === 'whole') {
				return kept.answer;
			}

			if (kept.kind === 'summary' || objects === undefined) {
				return undefined;
			}

			const content = await objects.get(kept.objectKey);
			return content.isOk() && content.value !== undefined ? JSON.parse(content.value) as KeptAnswer : undefined;
		},
	};
};
