/** Token buckets for rate limits, used by admission and retries. Depends on time only. */
package org.galenapost.core.limits;
