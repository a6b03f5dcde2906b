/**
 * Errors in settings files, with their location, the invalid value and the fix.
 */

/** Reason why a settings file was rejected. */
export type SettingsErrorKind = 'unreadable' | 'unknownSection' | 'unknownKey' | 'missing' | 'repeated' | 'invalid';

/** An error in a settings file. */
export type SettingsError = {
	readonly kind: SettingsErrorKind;
	readonly file: string;
	/** Name of the section without brackets; empty outside all sections. */
	readonly section: string;
	/** Name of the key; empty if the error concerns the file or the section. */
	readonly key: string;
	/** Text of the invalid value; empty if there is none. */
	readonly value: string;
	/** What is wrong. */
	readonly problem: string;
	/** How to correct it. */
	readonly fix: string;
};

/**
 * Formats an error as a message for operators.
 *
 * @param error - Error in a settings file.
 * @returns One line with the file, section, key, value, problem and fix.
 */
export const formatSettingsError = ({file, section, key, value, problem, fix}: SettingsError): string => {
	const sectionPart = section === '' ? [] : [`[${section}]`];
	const keyPart = key === '' ? [] : [key];
	const valuePart = value === '' ? [] : ['=', JSON.stringify(value)];
	const place = [...sectionPart, ...keyPart, ...valuePart].join(' ');
	return [file, ...(place === '' ? [] : [place]), `${problem}; ${fix}`].join(': ');
};
