/** What a caller asks, and the typed refusals it may get. */
@NullMarked
package org.corianderweir.model.request;

import org.jspecify.annotations.NullMarked;
