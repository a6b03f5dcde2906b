/**
 * Edits the accepted intent and submits the result.
 */
import type {Intent} from '@filbertwell/types/intent';
import {err, type Result} from 'neverthrow';
import type {CommandContext} from './commandContext.js';
import type {CommandFailure, CommandOutcome} from './commandFailure.js';
import {requireAccepted} from './readAccepted.js';
import {submitChange, type ChangeOptions} from './submitChange.js';

/** Makes the intent after from the intent before. */
export type IntentEdit = (intent: Intent) => Result<Intent, CommandFailure>;

/**
 * Edits the accepted intent and submits the result.
 *
 * @param context - Context of the command.
 * @param options - Options of the change.
 * @param edit - The edit.
 * @returns What became of it.
 */
export const editAccepted = async (context: CommandContext, options: ChangeOptions, edit: IntentEdit): Promise<CommandOutcome> => {
	const base = await requireAccepted(context);
	if (base.isErr()) {
		return err(base.error);
	}

	const intent = edit(base.value.intent);
	return intent.isOk()
		? submitChange(context, {base: base.value, intent: intent.value, options})
		: err(intent.error);
};
