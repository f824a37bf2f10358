/** Answers of entry instances to callers: refusals and look-up answers. */
@NullMarked
package org.corianderweir.model.request;

import org.jspecify.annotations.NullMarked;
