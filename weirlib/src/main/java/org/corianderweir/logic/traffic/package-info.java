/** Decisions about requests: routes, admission, placement on servers, retries. */
@NullMarked
package org.corianderweir.logic.traffic;

import org.jspecify.annotations.NullMarked;
