/**
 * Switches roarr on. It reads this variable once, when it is first imported, and drops every line without it; the
 * level of the settings decides here.
 */
process.env.ROARR_LOG = 'true';
