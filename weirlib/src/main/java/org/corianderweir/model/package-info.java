/** Types that all layers use: the exception of the project and its error codes. */
@NullMarked
package org.corianderweir.model;

import org.jspecify.annotations.NullMarked;
