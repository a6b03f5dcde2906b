/**
 * Formats schemas as the page docs/SETTINGS.md.
 */
import type {SettingsSchema, SettingsSection} from './loadSettings.js';
import type {Setting} from './setting.js';

/** A program with its settings. */
export type DocumentedSettings = {
	/** Name of the binary. */
	readonly program: string;
	readonly introduction: string;
	readonly schema: SettingsSchema;
};

const cell = (text: string) => text.replaceAll('|', String.raw`\|`);

const formatDefault = (defaultText: string | undefined): string => {
	if (defaultText === undefined) {
		return 'required';
	}

	return defaultText === '' ? 'empty' : `\`${defaultText}\``;
};

const formatKey = (key: string, {expected, unit, defaultText, description}: Setting<unknown>): string =>
	`| \`${key}\` | ${cell(expected)} | ${unit === '' ? '-' : unit} | ${formatDefault(defaultText)} | ${cell(description)} |`;

const formatSection = (name: string, {description, keys}: SettingsSection): string[] => [
	`### [${name}]`,
	'',
	description,
	'',
	'| key | value | unit | default | meaning |',
	'| --- | --- | --- | --- | --- |',
	...Object.entries(keys).map(([key, setting]) => formatKey(key, setting)),
	'',
];

/**
 * Formats the settings page.
 *
 * @param programs - Programs with their schemas.
 * @returns The page in Markdown.
 */
export const formatSettingsPage = (programs: readonly DocumentedSettings[]): string => [
	'# Settings',
	'',
	'Written by `npm run docs` from the schemas in `packages/settings`; don\'t edit it by hand.',
	'',
	'Settings are INI files: sections as `[name]`, keys as `name = value`, comments after `;` or `#`.',
	'Unknown sections and keys, repeated keys and bad values are errors; each names the file, the section, the key,',
	'the value and the fix, and all errors of a file are printed at once.',
	'',
	...programs.flatMap(({program, introduction, schema}) => [
		`## ${program}`,
		'',
		introduction,
		'',
		...Object.entries(schema).flatMap(([name, section]) => formatSection(name, section)),
	]),
].join('\n');
