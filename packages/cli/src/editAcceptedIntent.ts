/**
 * Submits a change that is made by editing the accepted intent.
 */
import type {Intent} from '@filbertwell/types/intent';
import type {Result} from 'neverthrow';
import type {CommandContext} from './commandContext.js';
import type {CommandFailure, CommandOutcome} from './commandFailure.js';
import {requireAccepted} from './readAccepted.js';
import {submitChange, type ChangeOptions} from './submitChange.js';

/** Returns the edited intent, or a failure if the edit does not apply. */
export type IntentEdit = (intent: Intent) => Result<Intent, CommandFailure>;

/**
 * Edits the accepted intent and submits the result.
 *
 * @param context - Context of the command.
 * @param options - Options of the change.
 * @param edit - Edits the accepted intent.
 * @returns The outcome of the command; a failure if no configuration is accepted yet.
 */
export const editAcceptedIntent = async (context: CommandContext, options: ChangeOptions, edit: IntentEdit): Promise<CommandOutcome> => submitChange(context, options, async () => {
	const base = await requireAccepted(context);
	return base.andThen(accepted => edit(accepted.intent).map(intent => ({base: accepted, intent})));
});
