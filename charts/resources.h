#ifndef __RESOURCE_charts_H__
#define __RESOURCE_charts_H__

#include <gio/gio.h>

extern GResource *charts_get_resource (void);

extern void charts_register_resource (void);
extern void charts_unregister_resource (void);

#endif
