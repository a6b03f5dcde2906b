/**
 * Errors of settings files, each with its place, the bad value and the fix.
 */

/** Why a settings file was refused. */
export type SettingsErrorKind = 'unreadable' | 'unknownSection' | 'unknownKey' | 'missing' | 'repeated' | 'invalid';

/** One error of a settings file. */
export type SettingsError = {
	readonly kind: SettingsErrorKind;
	readonly file: string;
	/** Section without brackets; empty outside all sections. */
	readonly section: string;
	/** Key; empty where the error is about a file or section. */
	readonly key: string;
	/** The bad value as it stands in the file; empty where there is none. */
	readonly value: string;
	readonly problem: string;
	readonly fix: string;
};

/**
 * Formats an error for a person.
 *
 * @param error - The error.
 * @returns One line: file, section, key, value, problem and fix.
 */
export const formatSettingsError = ({file, section, key, value, problem, fix}: SettingsError): string => {
	const sectionPart = section === '' ? [] : [`[${section}]`];
	const keyPart = key === '' ? [] : [key];
	const valuePart = value === '' ? [] : ['=', JSON.stringify(value)];
	const place = [...sectionPart, ...keyPart, ...valuePart].join(' ');
	return [file, ...(place === '' ? [] : [place]), `${problem}; ${fix}`].join(': ');
};
