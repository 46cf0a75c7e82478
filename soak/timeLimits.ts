/** Request timeout of the routes: that of callers with slow bodies and long answers; the others have a shorter deadline. */
export const routeTimeoutMilliseconds = 9_000;
/** Limit of all other requests. */
export const deadlineMilliseconds = 5_000;
