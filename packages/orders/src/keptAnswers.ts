/**
 * Keeps answers for resends: small ones in the row, large ones in the object store.
 */
import type {ObjectStore} from '@filbertwell/platform/objectStore';
import {contentHash} from '@filbertwell/utils/hash';
import type {OrderLimits} from './orderLimits.js';
import {orderObjectPrefix, parseKeptAnswer, type StoredAnswer} from './orderRow.js';
import type {KeptAnswer} from './orders.js';

/** Keeps and restores answers. */
export type KeptAnswers = {
	readonly keep: (token: string, answer: KeptAnswer) => Promise<StoredAnswer>;
	/** Restores an answer; `undefined` if only its summary was kept, or the object cannot be read or is damaged. */
	readonly restore: (kept: StoredAnswer) => Promise<KeptAnswer | undefined>;
};

/**
 * Creates the functions that keep and restore answers.
 *
 * @param objects - Object store; without one, only the status and hash of large answers are kept.
 * @param limits - Maximum sizes of answers in the row and in the object store.
 * @returns The functions.
 */
export const createKeptAnswers = (objects: ObjectStore | undefined, limits: OrderLimits): KeptAnswers => {
	const summary = (answer: KeptAnswer): StoredAnswer => ({kind: 'summary', status: answer.status, bodyHash: contentHash(answer.body)});

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
			return content.isOk() && content.value !== undefined ? parseKeptAnswer(content.value) : undefined;
		},
	};
};
