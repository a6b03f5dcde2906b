/**
 * Reads an INI file and validates it against a schema. All errors are reported, not only the first.
 */
import {readFileSync} from 'node:fs';
import {parse as parseIni} from 'ini';
import {err, ok, type Result} from 'neverthrow';
import {nearestName} from '@filbertwell/utils/nearestName';
import type {Setting} from './setting.js';
import type {SettingsError} from './settingsError.js';

/** Definition of a section of a settings file. */
export type SettingsSection = {
	readonly description: string;
	readonly keys: Readonly<Record<string, Setting<unknown>>>;
};

/** Definitions of all sections of a settings file, by name. */
export type SettingsSchema = Readonly<Record<string, SettingsSection>>;

/** Typed values of a settings file, nested by section. */
export type SettingsValues<Schema extends SettingsSchema> = {
	readonly [Section in keyof Schema]: {
		readonly [Key in keyof Schema[Section]['keys']]: Schema[Section]['keys'][Key] extends Setting<infer Value> ? Value : never;
	};
};

type ErrorDetails = Omit<SettingsError, 'file'>;

type RawSection = Readonly<Record<string, unknown>>;

const isRawSection = (value: unknown): value is RawSection => typeof value === 'object' && value !== null && !Array.isArray(value);

const formatSuggestion = (name: string, known: readonly string[], itemKind: string) =>
	`remove it, or use the nearest known ${itemKind} "${nearestName(name, known)}" (known: ${known.join(', ')})`;

/** Converts values that the `ini` library has parsed, such as `true` or the object of `[a.b]`, back to text. */
const toText = (value: unknown) => typeof value === 'string' ? value : JSON.stringify(value);

const findUnknownSections = (raw: RawSection, schema: SettingsSchema): ErrorDetails[] => Object.entries(raw)
	.filter(([name, value]) => !isRawSection(value) || !Object.hasOwn(schema, name))
	.map(([name, value]) => isRawSection(value)
		? {
			kind: 'unknownSection', section: name, key: '', value: '', problem: 'unknown section', fix: formatSuggestion(name, Object.keys(schema), 'section'),
		}
		: {
			kind: 'unknownKey',
			section: '',
			key: name,
			value: toText(value),
			problem: 'key outside all sections',
			fix: 'move it to the section that it belongs to',
		});

const findUnknownKeys = (name: string, raw: RawSection, section: SettingsSection): ErrorDetails[] => Object.entries(raw)
	.filter(([key]) => !Object.hasOwn(section.keys, key))
	.map(([key, value]) => ({
		kind: 'unknownKey', section: name, key, value: isRawSection(value) ? '' : toText(value), problem: 'unknown key', fix: formatSuggestion(key, Object.keys(section.keys), 'key'),
	}));

const parseValue = (section: string, key: string, raw: unknown, setting: Setting<unknown>): Result<unknown, ErrorDetails> => {
	const rawValue: unknown = Array.isArray(raw) && raw.length === 1 ? raw[0] : raw;
	if (Array.isArray(rawValue)) {
		return err({
			kind: 'repeated',
			section,
			key,
			value: rawValue.map(value => toText(value)).join(', '),
			problem: `the key is given ${rawValue.length} times`,
			fix: 'keep one of them',
		});
	}

	if (rawValue === undefined && setting.defaultText === undefined) {
		return err({
			kind: 'missing', section, key, value: '', problem: 'required key is missing', fix: `add it with ${setting.expected}`,
		});
	}

	const text = rawValue === undefined ? setting.defaultText! : toText(rawValue);
	const parsed = setting.schema.safeParse(text);
	return parsed.success
		? ok(parsed.data)
		: err({
			kind: 'invalid', section, key, value: text, problem: text === '' ? 'the value is empty' : 'the value is not valid', fix: `use ${setting.expected}`,
		});
};

/**
 * Parses and validates the text of a settings file.
 *
 * @param text - Content of the file.
 * @param file - Name of the file, for error messages.
 * @param schema - Known sections and keys.
 * @returns The typed values, or all errors in the file.
 */
export const parseSettings = <Schema extends SettingsSchema>(text: string, file: string, schema: Schema): Result<SettingsValues<Schema>, SettingsError[]> => {
	let raw: RawSection;
	try {
		// Without `bracketedArray`, the library collects the values of a repeated key in an array.
		raw = parseIni(text, {bracketedArray: false});
	} catch (error) {
		return err([{
			kind: 'unreadable',
			file,
			section: '',
			key: '',
			value: '',
			problem: `the file is not valid INI (${String(error)})`,
			fix: 'write sections as [name] and keys as name = value, without quotes around names',
		}]);
	}

	const errors = findUnknownSections(raw, schema);
	const values: Record<string, Record<string, unknown>> = {};
	for (const [name, section] of Object.entries(schema)) {
		const rawSection = Object.hasOwn(raw, name) && isRawSection(raw[name]) ? raw[name] : {};
		errors.push(...findUnknownKeys(name, rawSection, section));
		const sectionValues: Record<string, unknown> = {};
		for (const [key, setting] of Object.entries(section.keys)) {
			const value = parseValue(name, key, Object.hasOwn(rawSection, key) ? rawSection[key] : undefined, setting);
			if (value.isOk()) {
				sectionValues[key] = value.value;
			} else {
				errors.push(value.error);
			}
		}

		values[name] = sectionValues;
	}

	return errors.length === 0
		? ok(values as SettingsValues<Schema>)
		: err(errors.map(error => ({file, ...error})));
};

/**
 * Reads and validates a settings file.
 *
 * @param path - Path of the INI file.
 * @param schema - Known sections and keys.
 * @returns The typed values, or all errors, including that the file can't be read.
 */
export const loadSettings = <Schema extends SettingsSchema>(path: string, schema: Schema): Result<SettingsValues<Schema>, SettingsError[]> => {
	let text: string;
	try {
		text = readFileSync(path, 'utf8');
	} catch (error) {
		return err([{
			kind: 'unreadable',
			file: path,
			section: '',
			key: '',
			value: '',
			problem: `the file can't be read (${(error as NodeJS.ErrnoException).code ?? String(error)})`,
			fix: 'check the path and its permissions',
		}]);
	}

	return parseSettings(text, path, schema);
};
