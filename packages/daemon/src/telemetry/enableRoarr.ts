/**
 * Enables roarr, which reads this variable once, at its first import, and drops every line if it is not set. Lines are
 * filtered by the log level of the settings instead.
 */
process.env.ROARR_LOG = 'true';
